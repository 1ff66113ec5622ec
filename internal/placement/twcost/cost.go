// Package twcost measures the mean engine time that a model call takes of prefill and decode engines. The placement
// allocator records each call, and the leader divides the engines between the roles by the mean.
package twcost

import "github.com/turmericwall/turmericwall"

const (
	// callDecay is the factor by which the weight of earlier calls decreases with each new one. About two hundred calls
	// count, so that one engine of a dozen follows a change of the load but not a few unusually long answers.
	callDecay = 0.995
	// minCalls and minAnswers must have been recorded before the mean is known, about three seconds of a small
	// service's load.
	minCalls, minAnswers = 40, 20
	// speedDecay is the same factor for the speeds; about fifty prompts and answers count.
	speedDecay = 0.98
)

// Cost is the mean cost of recent calls. It has no clock of its own and is not safe for concurrent use.
type Cost struct {
	// Sums over calls with decreasing weights: the prompt tokens, the share of an engine that an answer holds, that
	// share times the answer's tokens, and the calls themselves.
	promptTokens, engineShare, shareTokens, callWeight float64
	callCount, answerCount                             int
	// Sums over prefills and answers with decreasing weights: prefillTokens were prefilled in prefillMillis,
	// answerTokens decoded in answerMillis.
	prefillTokens, prefillMillis float64
	answerTokens, answerMillis   float64
}

// Call is one call as it arrives.
type Call struct {
	PromptTokens float64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens float64
	// Slots is how many calls one engine decodes at once.
	Slots int
	// MemoryTokens is the memory of one engine in tokens; 0 when unknown.
	MemoryTokens int
}

// New returns a cost without calls.
func New() *Cost { return &Cost{} }

// RecordCall records one call when it arrives.
//
// Calls are not recorded when they end, because short answers end first: after a start or in a burst, answers would
// look cheaper than they are.
func (c *Cost) RecordCall(call Call) {
	share := 1 / float64(max(call.Slots, 1))
	if call.MemoryTokens > 0 {
		share = max(share, (call.PromptTokens+call.AnswerTokens/2)/float64(call.MemoryTokens))
	}
	c.promptTokens = callDecay*c.promptTokens + call.PromptTokens
	c.engineShare = callDecay*c.engineShare + share
	c.shareTokens = callDecay*c.shareTokens + share*call.AnswerTokens
	c.callWeight = callDecay*c.callWeight + 1
	c.callCount++
}

// RecordPrefill records a prefill that followed another one on the same engine without a pause. Only then is the time
// that of the engine itself.
func (c *Cost) RecordPrefill(tokens, millis float64) {
	c.prefillTokens = speedDecay*c.prefillTokens + tokens
	c.prefillMillis = speedDecay*c.prefillMillis + millis
}

// RecordAnswer records an answer's length and duration.
func (c *Cost) RecordAnswer(tokens, millis float64) {
	c.answerTokens = speedDecay*c.answerTokens + tokens
	c.answerMillis = speedDecay*c.answerMillis + millis
	c.answerCount++
}

// Mean returns the mean cost of a call; ok is false until enough calls have been recorded. prefillSpeed, in tokens per
// millisecond, is used until consecutive prefills have been recorded.
func (c *Cost) Mean(prefillSpeed float64) (cost turmericwall.CallCost, ok bool) {
	if c.callCount < minCalls || c.answerCount < minAnswers || c.answerMillis <= 0 {
		return turmericwall.CallCost{}, false
	}
	if c.prefillMillis > minPrefillMillis {
		prefillSpeed = c.prefillTokens / c.prefillMillis
	}
	decodeSpeed := c.answerTokens / c.answerMillis
	meanPrefillMillis := c.promptTokens / c.callWeight / prefillSpeed
	return turmericwall.CallCost{
		PrefillMillis: meanPrefillMillis,
		DecodeMillis:  c.shareTokens/c.callWeight/decodeSpeed + c.engineShare/c.callWeight*meanPrefillMillis,
	}, true
}

// minPrefillMillis is the recorded prefill time from which on the measured prefill speed is used.
const minPrefillMillis = 1000

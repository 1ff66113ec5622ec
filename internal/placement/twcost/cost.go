// Package twcost learns what a model call takes of the engines that read and of those that answer.
package twcost

import "github.com/turmericwall/turmericwall"

const (
	// keepShare is how much earlier calls count when another one comes: about two hundred are remembered, so that one
	// engine of a dozen follows a change of the load and not the chance of some long answers.
	keepShare = 0.995
	// fewestCalls and fewestAnswers must have come before the mean is told: some three seconds of a small service's load.
	fewestCalls, fewestAnswers = 40, 20
	// keepSpeed is how much earlier prompts and answers count for the speeds: about fifty are remembered.
	keepSpeed = 0.98
)

// Cost is the mean cost of recent calls. It has no clock of its own.
type Cost struct {
	// prompt, share and growth are sums over calls: tokens to read, the part of an engine that an answer holds, and that
	// part times the tokens of the answer.
	prompt, share, growth, calls float64
	seen, answers                int
	// tokens were read, and made, in so many milliseconds.
	readTokens, readMillis     float64
	answerTokens, answerMillis float64
}

// Call is one call as it comes.
type Call struct {
	PromptTokens float64
	// Length is how long its answer is expected to be, in tokens.
	Length float64
	// Slots is how many calls one engine answers at once.
	Slots int
	// MemoryTokens is the memory of one engine; 0 when unknown.
	MemoryTokens int
}

// New returns a cost without calls.
func New() *Cost { return &Cost{} }

// Learn takes one call.
//
// Calls are counted as they come and not as they end: short answers end first, and after a start or in a burst they
// would make answers look cheap.
func (c *Cost) Learn(call Call) {
	share := 1 / float64(max(call.Slots, 1))
	if call.MemoryTokens > 0 {
		share = max(share, (call.PromptTokens+call.Length/2)/float64(call.MemoryTokens))
	}
	c.prompt = keepShare*c.prompt + call.PromptTokens
	c.share = keepShare*c.share + share
	c.growth = keepShare*c.growth + share*call.Length
	c.calls = keepShare*c.calls + 1
	c.seen++
}

// Read takes the reading of a prompt that followed another one without a pause: only then the time is the engine's own.
func (c *Cost) Read(tokens, millis float64) {
	c.readTokens = keepSpeed*c.readTokens + tokens
	c.readMillis = keepSpeed*c.readMillis + millis
}

// Answered takes an answer's length and time.
func (c *Cost) Answered(tokens, millis float64) {
	c.answerTokens = keepSpeed*c.answerTokens + tokens
	c.answerMillis = keepSpeed*c.answerMillis + millis
	c.answers++
}

// Mean returns the mean cost of a call; ok is false while too few are known. readSpeed is used until prompts were
// read one after the other, in tokens a millisecond.
func (c *Cost) Mean(readSpeed float64) (cost turmericwall.CallCost, ok bool) {
	if c.seen < fewestCalls || c.answers < fewestAnswers || c.answerMillis <= 0 {
		return turmericwall.CallCost{}, false
	}
	if c.readMillis > fewestMillis {
		readSpeed = c.readTokens / c.readMillis
	}
	answerSpeed := c.answerTokens / c.answerMillis
	read := c.prompt / c.calls / readSpeed
	return turmericwall.CallCost{ReadMillis: read, AnswerMillis: c.growth/c.calls/answerSpeed + c.share/c.calls*read}, true
}

// fewestMillis of reading tell a speed.
const fewestMillis = 1000

package twbooks

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// firstTokensPerMilli is the answer speed of one run assumed before the first answer ended.
	firstTokensPerMilli = 0.7
	// firstReadPerMilli is the prompt reading speed assumed before the first prompt was read, in tokens.
	firstReadPerMilli = 40
	// learnShare is how much one new measurement changes a speed.
	learnShare = 0.2
	// travelMillis is the way of the calls around the reading of a prompt: a round trip and the answers' overhead.
	travelMillis = 6
	// priorTokens is the weight of the speed assumed before the first prompt, in tokens: about three prompts.
	priorTokens = 15000
	// keepShare is how much earlier readings count when another one ends: about ten are remembered.
	keepShare = 0.9
	// minMeasuredMillis is the shortest span that a speed is learned from.
	minMeasuredMillis = 20
)

// run is one placed call.
type run struct {
	owner string
	work  turmericwall.ModelWork
	// firstAt is when the first token is expected, and then when it came.
	firstAt time.Time
	// readBy is the engine that reads the prompt.
	readBy string
	// placedAt is when the reading was asked for.
	placedAt time.Time
	// reading tells that the prompt is not read yet.
	reading bool
	// kept tells that the engine kept the prompt from before: its reading says nothing of the engine's speed.
	kept bool
}

// engine is what the books know of one engine.
type engine struct {
	upstream turmericwall.Upstream
	runs     map[string]*run
	// projected is the newest projection of the runs; nil when they changed since.
	projected *projection
	// backlog is the prompt tokens that wait to be read here, as of backlogAt.
	backlog   float64
	backlogAt time.Time
	// readTokens were read in readMillis, older ones counting less.
	readTokens, readMillis float64
	// readSpeed is how fast the engine reads prompts in its role, in tokens a millisecond; 0 while unknown.
	readSpeed float64
	// answerSpeed is how fast one answer grows here, in tokens a millisecond; 0 while unknown.
	answerSpeed float64
	// readAt is when the engine last finished a prompt.
	readAt time.Time
	// ejected tells that the engine gets no call in this step because calls failed there.
	ejected bool
	// closedUntil is when the engine may be tried again after it refused for want of memory.
	closedUntil time.Time
	refusals    int
	// taken is the memory that all runs placed here so far needed, in tokens.
	taken float64
}

// made is how many tokens the run has by the time at.
func (r *run) made(at time.Time, speed float64) float64 {
	made := math.Max(0, float64(at.Sub(r.firstAt).Milliseconds())) * speed
	if r.work.MaxTokens > 0 {
		made = math.Min(made, float64(r.work.MaxTokens))
	}
	return made
}

// waitingRead is the backlog of prompt tokens at the time now.
func (e *engine) waitingRead(now time.Time, speed float64) float64 {
	return math.Max(0, e.backlog-speed*float64(now.Sub(e.backlogAt).Milliseconds()))
}

// finished takes the end of a prompt's reading and learns the speed from it. An engine reads one prompt after
// another: the reading began when it was asked for, or when the prompt before it was finished.
func (e *engine) finished(now time.Time, r *run, speed float64) {
	span := float64(now.Sub(r.placedAt).Milliseconds()) - travelMillis
	if e.readAt.After(r.placedAt) {
		span = float64(now.Sub(e.readAt).Milliseconds())
	}
	span = math.Max(span, 0)
	if e.readMillis == 0 || now.Sub(e.readAt) > forgetSpan {
		e.readTokens = priorTokens
		e.readMillis = priorTokens / speed
	}
	// Tokens and time are summed apart: prompts that are read side by side end together, and the mean of their
	// speeds would be far above the engine's.
	e.readTokens = keepShare*e.readTokens + float64(r.work.PromptTokens)
	e.readMillis = keepShare*e.readMillis + span
	e.readSpeed = e.readTokens / e.readMillis
	e.readAt = now
}

func learn(old, measured float64) float64 { return old + learnShare*(measured-old) }

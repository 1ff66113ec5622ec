// Package twinterference estimates how often a prefill on a decode engine delays the engine's other streams beyond the
// allowed event gap. The placement allocator consults it before it lets a decode engine prefill a prompt itself.
package twinterference

import "time"

const (
	// priorLateShare is the assumed share of late streams before any was observed, and priorStreams the weight of that
	// in streams. With it, a trial is made on an engine with a few streams but not on one with many.
	priorLateShare = 0.1
	priorStreams   = 5
	// streamDecay is the factor by which the weight of earlier streams decreases with each new one; about a hundred
	// count.
	streamDecay = 0.99
	// minEvaluated is how many streams must have been evaluated before trials are no longer limited to maxTrialStreams
	// at a time.
	minEvaluated    = 12
	maxTrialStreams = 4
	// observationSpan is how long a stream is observed after the prefill. Its daemon reports too long a pause within
	// two events.
	observationSpan = 300 * time.Millisecond
)

// Interference counts the streams whose engine did a prefill at the same time, and those of them that paused too long.
// It has no clock of its own and is not safe for concurrent use.
//
// How long a stream pauses depends on the size of the engine's prefill chunks, which engines don't report: some prefill
// so much at once that each stream waits for the whole prompt, others hardly pause.
type Interference struct {
	// streamWeight is the weighted number of evaluated streams, lateWeight that of the late ones.
	streamWeight, lateWeight float64
	evaluated                int
	// watched are the observed streams, with the end of their observation.
	watched map[string]time.Time
}

// New returns the prior estimate without streams.
func New() *Interference {
	return &Interference{
		streamWeight: priorStreams, lateWeight: priorLateShare * priorStreams, watched: make(map[string]time.Time),
	}
}

// Watch observes a stream whose engine does a prefill until prefillEndsAt.
func (i *Interference) Watch(stream string, prefillEndsAt time.Time) {
	i.watched[stream] = prefillEndsAt.Add(observationSpan)
}

// RecordPause records that a stream paused too long. It is ignored for a stream that is not observed, since the pause
// has another cause.
func (i *Interference) RecordPause(stream string) {
	if _, ok := i.watched[stream]; !ok {
		return
	}
	delete(i.watched, stream)
	i.record(true)
}

// Unwatch ends the observation of a stream that has ended.
func (i *Interference) Unwatch(stream string) { delete(i.watched, stream) }

// LateShare returns the share of the streams that is expected to pause too long, 0 to 1. It returns 1 while few streams
// have been evaluated and maxTrialStreams are observed, so that a few trials show the effect before many streams are
// late.
func (i *Interference) LateShare(now time.Time) float64 {
	for stream, until := range i.watched {
		if now.After(until) {
			delete(i.watched, stream)
			i.record(false)
		}
	}
	if i.evaluated < minEvaluated && len(i.watched) >= maxTrialStreams {
		return 1
	}
	return i.lateWeight / i.streamWeight
}

func (i *Interference) record(late bool) {
	i.evaluated++
	i.streamWeight = streamDecay*i.streamWeight + 1
	i.lateWeight *= streamDecay
	if late {
		i.lateWeight++
	}
}

// Package twpauses learns how often an engine that reads a prompt itself keeps its other streams waiting too long.
package twpauses

import "time"

const (
	// assumedShare is the part of the streams that is taken to be late before any was seen, and assumedStreams the weight
	// of that in streams: an engine with a few streams is worth the try, one with many isn't.
	assumedShare   = 0.1
	assumedStreams = 5
	// keepShare is how much earlier streams count when another one is judged: some hundred are remembered.
	keepShare = 0.99
	// enoughStreams is how many streams must have been judged before trials aren't limited to mostWatched at a time.
	enoughStreams = 12
	mostWatched   = 4
	// judgeSpan is how long a stream is watched: its daemon tells of a pause that is too long within two events.
	judgeSpan = 300 * time.Millisecond
)

// Pauses counts the streams beside which a prompt was read, and those of them that paused too long.
//
// How long a stream pauses depends on how large the pieces are in which its engine reads between two tokens. Engines
// don't tell that; some read so much at once that each stream waits for the whole prompt, others hardly pause.
type Pauses struct {
	streams, late float64
	judged        int
	// watched are the streams that were disturbed, and until when a pause counts.
	watched map[string]time.Time
}

// New returns pauses without streams.
func New() *Pauses {
	return &Pauses{streams: assumedStreams, late: assumedShare * assumedStreams, watched: make(map[string]time.Time)}
}

// Watch takes a stream beside which a prompt is read until the moment readAt.
func (p *Pauses) Watch(stream string, readAt time.Time) { p.watched[stream] = readAt.Add(judgeSpan) }

// Paused takes the news that a stream paused too long; one that was not disturbed says nothing.
func (p *Pauses) Paused(stream string) {
	if _, ok := p.watched[stream]; !ok {
		return
	}
	delete(p.watched, stream)
	p.learn(true)
}

// Ended forgets a stream that can't pause any more.
func (p *Pauses) Ended(stream string) { delete(p.watched, stream) }

// LateShare is the part of the streams that is expected to pause too long, 0 to 1. While little is known and trials are
// under way it is 1: a few show what comes of it before many streams are late.
func (p *Pauses) LateShare(now time.Time) float64 {
	for stream, until := range p.watched {
		if now.After(until) {
			delete(p.watched, stream)
			p.learn(false)
		}
	}
	if p.judged < enoughStreams && len(p.watched) >= mostWatched {
		return 1
	}
	return p.late / p.streams
}

func (p *Pauses) learn(late bool) {
	p.judged++
	p.streams = keepShare*p.streams + 1
	p.late *= keepShare
	if late {
		p.late++
	}
}

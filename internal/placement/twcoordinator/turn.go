package twcoordinator

import (
	"context"
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
	"github.com/turmericwall/turmericwall/internal/quarantine/twrunregistry"
)

const (
	// turnRetryAfter is the retry time of a call whose turn another one has: the time in which that one's prompt is read and
	// its answer begins.
	turnRetryAfter = 400 * time.Millisecond
	// unsettledSpan is how long a run counts as under way after its end while its daemon finds out whether the engine has ended.
	unsettledSpan = time.Second
	// settleSpan is how long after an end under a request a plain call with it waits: its other runs, which the leader doesn't know,
	// end or are reported in that time.
	settleSpan = 100 * time.Millisecond
)

// inputOf returns what a call brings to upstreams.
func inputOf(request turmericwall.PlaceRequest) turmericwall.Input {
	return turmericwall.Input{
		Service: request.Service, Request: request.Fingerprint, Stream: request.StreamFingerprint, Parts: request.Parts,
	}
}

// beginRun refuses a call whose input is quarantined, is suspected while another call with it runs, or might end more upstreams
// than a request may with those that its other runs are at. A run that moves has its turn already.
func (c *Coordinator) beginRun(ctx context.Context, request turmericwall.PlaceRequest) error {
	if c.config.Quarantine == nil || request.Fingerprint == "" {
		return nil
	}
	input := inputOf(request)
	judgement := c.config.Quarantine.Judge(input)
	if judgement.Verdict == turmericwall.VerdictSuspect && !c.config.IsLeader() && c.config.RefreshEvidence != nil {
		// Other daemons without the leader may have seen more upstreams end under it.
		c.config.RefreshEvidence(ctx)
		judgement = c.config.Quarantine.Judge(input)
	}
	now := time.Now()
	switch {
	case judgement.Verdict == turmericwall.VerdictQuarantined:
		return turmericwall.NewQuarantineProblem(judgement.String(),
			now.Add(time.Duration(judgement.RemainingMillis)*time.Millisecond))
	case request.Turn && now.Sub(c.config.Quarantine.LastEndAt(input)) < settleSpan:
		return waitProblem(now, "an upstream has just ended under the input of this call")
	case judgement.Verdict == turmericwall.VerdictSuspect && !request.Moving &&
		!c.turns.Take(now, judgement.Keys, request.CallID(), request.ID, request.Owner):
		return waitProblem(now, "upstreams ended under the input of this call, and another call with it runs")
	}
	run := twrunregistry.Run{Call: request.CallID(), Owner: request.Owner, Input: input}
	if !c.runs.Begin(now, request.ID, run, c.maxOtherRuns(input)) {
		c.turns.End(request.ID)
		return waitProblem(now, "as many calls with the request of this one are under way as upstreams may end under it")
	}
	return nil
}

// maxOtherRuns returns how many runs of other calls may be under way under a call's request. It is unlimited for a request that
// ran well lately.
func (c *Coordinator) maxOtherRuns(input turmericwall.Input) int {
	ends, sound := c.config.Quarantine.Ends(input)
	if sound {
		return math.MaxInt
	}
	return max(twevidence.MaxEndsPerRequest-ends, 1)
}

func waitProblem(now time.Time, detail string) error {
	return turmericwall.NewProblem(turmericwall.KindOverloaded, detail, "come back at the time given").
		WithRetryAt(now.Add(turnRetryAfter))
}

// recordPlaced records the engines of a run.
func (c *Coordinator) recordPlaced(id string, placement turmericwall.Placement) {
	engines := []turmericwall.UpstreamKey{placement.Decode.Key()}
	if placement.Prefill.ID != "" {
		engines = append(engines, placement.Prefill.Key())
	}
	c.runs.Place(time.Now(), id, engines...)
}

// adoptRun records a run that another daemon, or an earlier leader, has placed.
func (c *Coordinator) adoptRun(now time.Time, placed turmericwall.PlacedCall) {
	request := placed.Request
	if request.Fingerprint == "" || c.config.Quarantine == nil {
		return
	}
	c.runs.Begin(now, request.ID, twrunregistry.Run{
		Call: request.CallID(), Owner: request.Owner, Input: inputOf(request),
	}, math.MaxInt)
	if request.Turn {
		c.runs.Place(now, request.ID, request.Target)
		return
	}
	for _, engine := range c.config.Upstreams(request.Service) {
		if engine.ID == placed.Engine {
			c.runs.Place(now, request.ID, engine.Key())
		}
	}
}

// endRun ends the turns of a run, and the run once it is known whether its engine has ended under it.
func (c *Coordinator) endRun(update turmericwall.PlacementUpdate) {
	c.turns.End(update.ID)
	now := time.Now()
	keptUntil := now
	if update.Unsettled {
		keptUntil = now.Add(unsettledSpan)
	}
	run, ok := c.runs.End(now, update.ID, keptUntil)
	switch {
	case !ok || c.config.Quarantine == nil:
	case update.Answered:
		c.config.Quarantine.RecordAnswer(run.Input)
	case update.Ended != nil:
		run.Input.Parts = nil
		c.config.Quarantine.RecordEnd(*update.Ended, run.PlacedAt, run.Input, turmericwall.EndUnknown)
	}
}

// endRunsOf ends the turns of a daemon that has terminated. It may have been ended by the same cause as the upstreams of its runs, or
// have seen them end: these are open ends.
func (c *Coordinator) endRunsOf(owner string) {
	c.turns.EndOwner(owner)
	for _, run := range c.runs.TakeOwner(owner) {
		for _, upstream := range run.Upstreams {
			run.Input.Parts = nil
			c.config.Quarantine.RecordEnd(upstream, run.PlacedAt, run.Input, turmericwall.EndUnknown)
		}
	}
}

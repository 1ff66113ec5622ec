package twcoordinator

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// turnRetryAfter is the retry time of a call whose turn another one has: the time in which that one's prompt is read and
// its answer begins.
const turnRetryAfter = 400 * time.Millisecond

// takeTurn refuses a call whose input is quarantined, or is suspected while another call with it runs. A run that moves has
// its turn already.
func (c *Coordinator) takeTurn(request turmericwall.PlaceRequest) error {
	if c.config.Quarantine == nil || request.Fingerprint == "" || request.Moving {
		return nil
	}
	now := time.Now()
	judgement := c.config.Quarantine.Judge(turmericwall.Input{
		Service: request.Service, Request: request.Fingerprint, Parts: request.Parts,
	})
	switch judgement.Verdict {
	case turmericwall.VerdictQuarantined:
		return turmericwall.NewQuarantineProblem(judgement.String(),
			now.Add(time.Duration(judgement.RemainingMillis)*time.Millisecond))
	case turmericwall.VerdictSuspect:
		if !c.turns.Take(now, judgement.Keys, request.CallID(), request.ID, request.Owner) {
			return turmericwall.NewProblem(turmericwall.KindOverloaded,
				"engines ended under the input of this call, and another call with it runs", "come back at the time given").
				WithRetryAt(now.Add(turnRetryAfter))
		}
	}
	return nil
}

package twrelay

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// countSend counts a send of the call to an upstream, a prefill too, and returns how often it was sent there before.
func (a *attempt) countSend(upstream turmericwall.Upstream) (repeats int) {
	if a.sentTo == nil {
		a.sentTo = make(map[string]int, 1)
	}
	repeats = a.sentTo[upstream.ID]
	a.sentTo[upstream.ID]++
	return repeats
}

// spendSend counts one send. Sends after the first are taken from the retry budget that all daemons share; it returns
// false when the budget is used up.
func (r *Relay) spendSend(a *attempt) bool {
	if a.countedSends > 0 && !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		a.retryDenied = true
		return false
	}
	a.countedSends++
	return true
}

// returnUnsent takes a send back that failed before it left this daemon: no upstream has received anything.
func (r *Relay) returnUnsent(a *attempt, err error) {
	if wasSent(err) || a.countedSends == 0 {
		return
	}
	a.countedSends--
	if a.countedSends > 0 {
		r.config.Retries.Return(time.Now(), a.service.Name)
	}
}

package twthrottle

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// clusterSize is the number of live daemons, and of those that are not live but answered the leader recently.
type clusterSize struct {
	daemons, unresponsive int
	validUntil            time.Time
}

// Grant answers a daemon's request for sends. The reply is declined if this daemon is not the rate coordinator.
func (t *Throttle) Grant(request turmericwall.AdmitRequest) turmericwall.AdmitReply {
	t.config.Rates.RecordPeerRates([]turmericwall.UpstreamRate{request.Rate})
	if !t.updateCoordinating() {
		return turmericwall.AdmitReply{Declined: true}
	}
	key := request.Rate.Key()
	rate, limited := t.config.Rates.Rate(key)
	if !limited {
		return turmericwall.AdmitReply{Granted: max(request.Count, 0)}
	}
	rate = max(rate, minRatePerSecond)
	now, cluster := t.config.Now(), t.countDaemons()
	live := cluster.liveFraction()
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, key, rate*live)
	if granted := b.grant(request.Count); granted > 0 {
		return turmericwall.AdmitReply{Granted: granted}
	}
	next := later(b.nextCallAt(now, rate*live), now.Add(time.Duration(cluster.daemons)*requestPausePerDaemon))
	return turmericwall.AdmitReply{
		NextRequestMillis: ceilMillis(next.Sub(now)),
		RetryMillis:       ceilMillis(b.assignRetryTime(now, rate*live).Sub(now)),
	}
}

// updateCoordinating determines whether this daemon is the rate coordinator. A daemon that becomes the coordinator
// starts with new buckets, since the ones from an earlier time in that role are stale.
func (t *Throttle) updateCoordinating() bool {
	_, leading, hasLeader := t.config.Leader()
	coordinating := leading || (!hasLeader && t.config.StandbyRank() >= 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	if coordinating && !t.coordinating {
		clear(t.buckets)
	}
	t.coordinating = coordinating
	return coordinating
}

// countDaemons returns the size of the cluster, which is cached for daemonCountMaxAge. It calls the cluster without
// holding the lock, since the cluster may block on its own.
func (t *Throttle) countDaemons() clusterSize {
	now := t.config.Now()
	t.mu.Lock()
	last := t.cluster
	t.mu.Unlock()
	if now.Before(last.validUntil) {
		return last
	}
	next := clusterSize{daemons: t.config.Daemons(), validUntil: now.Add(daemonCountMaxAge)}
	if _, leading, _ := t.config.Leader(); leading {
		next.unresponsive = t.config.UnresponsiveDaemons()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cluster = next
	return next
}

// liveFraction returns the fraction of the daemons that request sends from the coordinator. The others may use their
// send slots.
func (s clusterSize) liveFraction() float64 {
	daemons := max(s.daemons, 1)
	return float64(daemons) / float64(daemons+s.unresponsive)
}

// CanAdmitSend reports whether a send to the upstream may be admitted now.
func (t *Throttle) CanAdmitSend(upstream turmericwall.UpstreamKey) bool {
	rate, limited := t.config.Rates.Rate(upstream)
	if !limited {
		return true
	}
	coordinating, live, now := t.updateCoordinating(), t.countDaemons().liveFraction(), t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.allowances[upstream]; ok && a.granted > 0 && now.Before(a.grantedUntil) {
		return true
	}
	if coordinating {
		return t.bucket(now, upstream, max(rate, minRatePerSecond)*live).level >= 1
	}
	a, ok := t.allowances[upstream]
	return !ok || !now.Before(a.nextRequestAt)
}

// RefusingUpstreams returns the upstreams to which no send may be admitted now.
func (t *Throttle) RefusingUpstreams() []turmericwall.UpstreamKey {
	var refusing []turmericwall.UpstreamKey
	for _, key := range t.config.Rates.Limited() {
		if !t.CanAdmitSend(key) {
			refusing = append(refusing, key)
		}
	}
	return refusing
}

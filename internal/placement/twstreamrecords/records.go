// Package twstreamrecords holds which software versions began streams, for as long as their callers may take them up.
package twstreamrecords

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxRecords bounds the records by their memory, some 200 bytes each. The oldest are dropped beyond it.
const maxRecords = 1 << 16

// Config configures Records.
type Config struct {
	// Now returns the current time; nil for the system's clock.
	Now func() time.Time
}

// Records holds the records of streams, in the order in which they arrived. It is safe for concurrent use.
type Records struct {
	config Config
	mu     sync.Mutex
	byID   map[string]*record
	// queue has the records, oldest first; the first one has the sequence number firstSequence.
	queue         []*record
	firstSequence int64
}

type record struct {
	stream, service string
	version         turmericwall.SoftwareVersion
	deadline        time.Time
	// own is set for a stream of this daemon.
	own bool
}

// New returns no records.
func New(config Config) *Records {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Records{config: config, byID: make(map[string]*record)}
}

// Record adds the record of a stream of this daemon, unless the stream has one: only its first event decides.
func (r *Records) Record(added turmericwall.StreamRecord) { r.add(added, true) }

// RecordAll adds the records that another daemon sent.
func (r *Records) RecordAll(list []turmericwall.StreamRecord) {
	for _, added := range list {
		r.add(added, false)
	}
}

func (r *Records) add(added turmericwall.StreamRecord, own bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if _, known := r.byID[added.Stream]; known || added.Stream == "" || added.RemainingMillis <= 0 {
		return
	}
	entry := &record{
		stream: added.Stream, service: added.Service, version: added.Version, own: own,
		deadline: now.Add(time.Duration(added.RemainingMillis) * time.Millisecond),
	}
	r.byID[added.Stream] = entry
	r.queue = append(r.queue, entry)
	if len(r.queue) > maxRecords {
		r.dropOldest()
	}
}

// Find returns the record of a stream; ok is false if there is none.
func (r *Records) Find(stream string) (found turmericwall.StreamRecord, ok bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.byID[stream]
	if !ok || now.After(entry.deadline) {
		return turmericwall.StreamRecord{}, false
	}
	return entry.report(now), true
}

// After returns the records from the sequence number on, all or those of this daemon, and the number from which on later
// ones follow.
func (r *Records) After(sequence int64, all bool) (list []turmericwall.StreamRecord, next int64) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	next = r.firstSequence + int64(len(r.queue))
	for _, entry := range r.queue[min(max(sequence-r.firstSequence, 0), int64(len(r.queue))):] {
		if all || entry.own {
			list = append(list, entry.report(now))
		}
	}
	return list, next
}

// expire drops the oldest records while their deadlines have passed; the lock is held.
func (r *Records) expire(now time.Time) {
	for len(r.queue) > 0 && now.After(r.queue[0].deadline) {
		r.dropOldest()
	}
}

func (r *Records) dropOldest() {
	delete(r.byID, r.queue[0].stream)
	r.queue[0] = nil
	r.queue = r.queue[1:]
	r.firstSequence++
}

func (e *record) report(now time.Time) turmericwall.StreamRecord {
	return turmericwall.StreamRecord{
		Stream: e.stream, Service: e.service, Version: e.version, RemainingMillis: e.deadline.Sub(now).Milliseconds(),
	}
}

package twrelay_test

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// fakePlacer returns the placements in turn, and then the refusal.
type fakePlacer struct {
	mu         sync.Mutex
	placements []turmericwall.Placement
	requests   []turmericwall.PlaceRequest
	updates    []turmericwall.PlacementUpdate
	refusal    error
	// found is the version that is found for streams that calls take up.
	found turmericwall.SoftwareVersion
	// onPlace is called for each request; it may be nil.
	onPlace func(request turmericwall.PlaceRequest)
	// waits is set if calls wait for a placement that never comes.
	waits bool
}

func (p *fakePlacer) Place(ctx context.Context, request turmericwall.PlaceRequest) (turmericwall.Placement, error) {
	if p.waits {
		<-ctx.Done()
		return turmericwall.Placement{}, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, request)
	if p.onPlace != nil {
		p.onPlace(request)
	}
	if len(p.requests) > len(p.placements) {
		return turmericwall.Placement{}, p.refusal
	}
	placement := p.placements[len(p.requests)-1]
	placement.ID, placement.Version = request.ID, request.Version
	if request.TakesUp {
		placement.Version = p.found
	}
	placement.PrefillEndsAt = time.Now().Add(100 * time.Millisecond)
	return placement, nil
}

func (p *fakePlacer) ApplyUpdate(update turmericwall.PlacementUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates = append(p.updates, update)
}

// lastRequest returns the last request for a placement.
func (p *fakePlacer) lastRequest() turmericwall.PlaceRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests[len(p.requests)-1]
}

// last returns the last report.
func (p *fakePlacer) last() turmericwall.PlacementUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updates[len(p.updates)-1]
}

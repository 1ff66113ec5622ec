package twrelay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

var errOtherVersion = errors.New("the engine has another software version than the one that began the stream")

// placementIgnoredRetryAfter is the retry time while the leader does not know of software versions, or of the only engine of a call:
// leaders of an earlier build are replaced within seconds.
const placementIgnoredRetryAfter = time.Second

// placeAtVersion requests a placement, and releases one that isn't at the required software version, or at the only engine that may
// run the call: a leader of an earlier build doesn't keep to them.
func (r *Relay) placeAtVersion(
	ctx context.Context, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	placement, err := r.config.Placer.Place(ctx, request)
	if err != nil {
		return placement, err
	}
	ignored := ""
	switch {
	case request.Only != "" && placement.Decode.ID != request.Only:
		ignored = fmt.Sprintf("the leader placed the call at %s, and it may run only at %s", placement.Decode.ID, request.Only)
	case !isAtVersion(request, placement):
		ignored = fmt.Sprintf("the leader placed the call at the software version %q, which may not be that of its stream",
			placement.Decode.Version)
	default:
		return placement, nil
	}
	r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: request.Service, NotRun: true})
	return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindOverloaded, ignored,
		"come back at the time given").WithRetryAt(time.Now().Add(placementIgnoredRetryAfter))
}

// isAtVersion reports whether a placement is at the software version that the request requires, if it requires one.
func isAtVersion(request turmericwall.PlaceRequest, placement turmericwall.Placement) bool {
	if request.Version == "" && !request.TakesUp {
		return true
	}
	return placement.Version != "" && placement.Decode.Version == placement.Version &&
		(placement.Version == request.Version || request.TakesUp)
}

// keepVersion checks the software version of the present run before its first event is passed on. The first event of the
// stream decides its version.
func (s *answerStream) keepVersion() error {
	a := s.attempt
	version := s.relay.config.View.VersionOf(s.run.engine)
	if a.version == "" && !a.versionUnknown {
		a.version, a.versionUnknown = version, version == ""
	}
	if version != a.version {
		return errOtherVersion
	}
	if version != "" && a.stats.events == 0 {
		s.relay.config.Streams.Record(turmericwall.StreamRecord{
			Stream: a.streamID(), Service: a.service.Name, Version: version,
			RemainingMillis: s.relay.config.Routes.StreamSpan(a.service.Name).Milliseconds(),
		})
	}
	return nil
}

// streamID returns the id of the call that brought, or will bring, the first event of the call's stream.
func (a *attempt) streamID() string {
	if a.call.LastEvent > 0 && a.call.Resumes != "" {
		return a.call.Resumes
	}
	return a.call.ID
}

// takesUp reports whether the call takes a stream up whose version this daemon doesn't know.
func (a *attempt) takesUp() bool { return a.call.LastEvent > 0 && a.version == "" }

// pickService returns the service of the call. A call that takes a stream up goes to the stream's service, and gets its
// version if this daemon knows it.
func (r *Relay) pickService(a *attempt) string {
	if a.takesUp() && a.call.Resumes != "" {
		if record, ok := r.config.Streams.Find(a.call.Resumes); ok && routesTo(a.route, record.Service) {
			a.version = record.Version
			return record.Service
		}
	}
	return twroutes.PickService(a.route, a.streamID())
}

func routesTo(route turmericwall.Route, service string) bool {
	return slices.ContainsFunc(route.Services, func(s turmericwall.WeightedService) bool {
		return s.Service == service && s.Weight > 0
	})
}

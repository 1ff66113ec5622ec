package twcoordinator

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// searchSpan is how long the version of a stream is searched for: records of first events arrive up to 50 ms after
	// them, and at a new leader within a quarter of a second.
	searchSpan     = 250 * time.Millisecond
	searchInterval = 20 * time.Millisecond
	// unknownRetryAfter is the retry time for a stream of an unknown version. By then a cut may have healed, or another
	// daemon may have reported it.
	unknownRetryAfter = time.Second
)

// requireVersion returns the request with the version of the stream that it takes up as its requirement.
func (c *Coordinator) requireVersion(
	ctx context.Context, request turmericwall.PlaceRequest,
) (turmericwall.PlaceRequest, error) {
	if !request.TakesUp || request.Version != "" {
		return request, nil
	}
	takenUpAt := twboottime.Now()
	for until := time.Now().Add(searchSpan); ; {
		version, ok := c.config.FindVersion(request.Service, request.Stream, takenUpAt)
		if ok {
			request.Version = version
			return request, nil
		}
		if time.Now().After(until) {
			return request, turmericwall.NewProblem(turmericwall.KindOverloaded,
				"the software version that began the stream is not known", "come back at the time given").
				WithRetryAt(time.Now().Add(unknownRetryAfter))
		}
		select {
		case <-ctx.Done():
			return request, turmericwall.NewProblem(turmericwall.KindCancelled,
				"the caller left or its time is over", "call again")
		case <-time.After(searchInterval):
		}
	}
}

package twrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/turmericwall/turmericwall"
)

var errUnexpectedEncoding = errors.New("the upstream encoded its answer although no encoding was requested")

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Upgrade": true, "Te": true, "Trailer": true, "Content-Length": true,
}

// copyHeader copies the upstream's header to the response, without the hop-by-hop fields.
func copyHeader(w http.ResponseWriter, answer *turmericwall.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		if !hopByHopHeaders[name] {
			header[name] = values
		}
	}
	if answer.Length >= 0 {
		setContentLength(w, int(answer.Length))
	}
}

func setContentLength(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
}

// isEncoded reports whether the body has a content encoding. The relay requests none, and can't split an encoded stream
// into events.
func isEncoded(answer *turmericwall.Answer) bool {
	encoding := answer.Header.Get("Content-Encoding")
	return encoding != "" && encoding != "identity"
}

// checkUnstatedNotRun returns an error for a status that means "not run" to the caller when the upstream did not state
// that the call did not run.
//
// A failing upstream may answer 503 to a call that it ran. If that status were passed on, the caller would take the
// call as not run and could send a booking a second time.
func checkUnstatedNotRun(answer *turmericwall.Answer) error {
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusMisdirectedRequest:
	default:
		return nil
	}
	_ = answer.Body.Close()
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed,
		"the upstream answered "+strconv.Itoa(answer.Status)+" without saying that the call did not run",
		"look before calling again").WithOutcome(turmericwall.OutcomeUnknown)
}

// headReader sends a call in a goroutine, so that the silence of its engine can be noticed.
type headReader struct {
	// done has the result of the send.
	done     chan headResult
	arrivals arrivals
}

// headResult is the result of a send: the answer with its head, or an error.
type headResult struct {
	answer *turmericwall.Answer
	err    error
}

// startSend sends the call.
func startSend(
	ctx context.Context, upstreams turmericwall.UpstreamClient, to turmericwall.Upstream, call turmericwall.OutgoingCall,
) *headReader {
	h := &headReader{done: make(chan headResult, 1)}
	go func() {
		answer, err := upstreams.Send(ctx, to, call)
		h.arrivals.record()
		h.done <- headResult{answer: answer, err: err}
	}()
	return h
}

// discard waits for the result of a cancelled send and closes its answer.
func (h *headReader) discard() {
	if result := <-h.done; result.answer != nil {
		_ = result.answer.Body.Close()
	}
}

package twpeerhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twresponse"
)

const (
	// maxExchangeBytes limits a request to an upstream: the largest body of a call, and its headers.
	maxExchangeBytes = 9 << 20
	// maxExchangeHeadBytes limits the line before a request or an answer.
	maxExchangeHeadBytes = 256 << 10
	// exchangeBufferBytes is the size of one read of an answer's body.
	exchangeBufferBytes = 4 << 10
)

// wireExchange describes a request to an upstream. It is sent as one line, followed by the request's head and body.
type wireExchange struct {
	To     turmericwall.Upstream `json:"to"`
	Method string                `json:"method"`
	CallID string                `json:"callId,omitempty"`
	// ControlID is that of a control request; a peer of an earlier version takes its answer for that to another request.
	ControlID string `json:"controlId,omitempty"`
	// OwnConnection is that of the request; a peer of an earlier version doesn't know it.
	OwnConnection bool `json:"ownConnection,omitempty"`
	// IsOrder is that of the request; a peer of an earlier version sends it like any other.
	IsOrder bool `json:"isOrder,omitempty"`
	// HeadBytes is the length of the request's head.
	HeadBytes int `json:"headBytes"`
	// RemainingMillis is the time that is left for the exchange; 0 if it is not limited.
	RemainingMillis int64 `json:"remainingMillis,omitempty"`
}

// wireExchangeReply is sent as one line, followed by the body of the upstream's answer if there is one.
type wireExchangeReply struct {
	// Refused is the reason why nothing was sent; empty if the request was sent.
	Refused   turmericwall.EgressReason `json:"refused,omitempty"`
	LostShare float64                   `json:"lostShare,omitempty"`
	// Error is the error of a request that was sent and got no answer.
	Error string `json:"error,omitempty"`
	// Limit is the limit that what the upstream sent exceeded, and LimitMax its value; empty if there was none.
	Limit    turmericwall.Limit `json:"limit,omitempty"`
	LimitMax int64              `json:"limitMax,omitempty"`

	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Length int64       `json:"length"`
	NotRun bool        `json:"notRun,omitempty"`
	// Framing is that of the upstream's answer, and Reused is set if its connection had carried an earlier request. A peer of an
	// earlier version doesn't state them.
	Framing turmericwall.Framing `json:"framing,omitempty"`
	Reused  bool                 `json:"reused,omitempty"`
}

// Exchange has a peer send a request to an upstream. Its time limit is that of ctx.
func (c *Client) Exchange(
	ctx context.Context, address string, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	message := wireExchange{To: to, Method: request.Method, CallID: request.CallID, ControlID: request.ControlID, OwnConnection: request.OwnConnection, IsOrder: request.IsOrder, HeadBytes: len(request.Head)}
	if deadline, ok := ctx.Deadline(); ok {
		message.RemainingMillis = max(time.Until(deadline).Milliseconds(), 1)
	}
	line, err := json.Marshal(message)
	if err != nil {
		return nil, &turmericwall.SendError{Err: fmt.Errorf("encode %s: %w", pathExchange, err)}
	}
	// The request counts as sent once there is a connection to the peer, unless the peer states that it was not.
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	line = append(line, '\n')
	// The body isn't copied: it may have several megabytes.
	newBody := func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(
			bytes.NewReader(line), bytes.NewReader(request.Head), bytes.NewReader(request.Body))), nil
	}
	httpRequest, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+address+pathExchange, nil)
	if err != nil {
		return nil, &turmericwall.SendError{Err: fmt.Errorf("call %s: %w", pathExchange, err)}
	}
	httpRequest.Body, _ = newBody()
	httpRequest.GetBody = newBody
	httpRequest.ContentLength = int64(len(line) + len(request.Head) + len(request.Body))
	sentAt := time.Now()
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, &turmericwall.SendError{
			Sent: connected.Load(), PathLost: true, Err: fmt.Errorf("have a peer call %s: %w", to.ID, err),
		}
	}
	return readExchangeReply(to, sentAt, response)
}

// readExchangeReply reads the line before the body of the upstream's answer.
func readExchangeReply(
	to turmericwall.Upstream, sentAt time.Time, response *http.Response,
) (*turmericwall.Answer, error) {
	fail := func(err error) (*turmericwall.Answer, error) {
		_ = response.Body.Close()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return fail(&turmericwall.SendError{
			Sent: !refusesExchange(response.StatusCode), PathLost: true, Err: fmt.Errorf("%w: status %d for %s", errStatus, response.StatusCode, pathExchange),
		})
	}
	reader := bufio.NewReaderSize(response.Body, exchangeBufferBytes)
	line, err := readLine(reader)
	var reply wireExchangeReply
	if err == nil {
		err = json.Unmarshal(line, &reply)
	}
	switch {
	case err != nil:
		return fail(&turmericwall.SendError{
			Sent: true, PathLost: true, Err: fmt.Errorf("read the peer's answer of %s: %w", to.ID, err),
		})
	case reply.Refused != "":
		// The end of a short body lets the connection be used again.
		_, _ = io.CopyN(io.Discard, reader, exchangeBufferBytes)
		return fail(&turmericwall.EgressRefusal{Reason: reply.Refused, LostShare: reply.LostShare})
	case reply.Limit != "":
		return fail(&turmericwall.SendError{Sent: true, Err: fmt.Errorf(
			"have a peer call %s: %w", to.ID, &turmericwall.LimitError{Limit: reply.Limit, Max: reply.LimitMax},
		)})
	case reply.Error != "":
		return fail(&turmericwall.SendError{Sent: true, Err: errors.New(reply.Error)})
	case reply.Status < http.StatusOK:
		return fail(malformedError(to, fmt.Errorf("status %d", reply.Status)))
	}
	if err := twresponse.CheckFields(reply.Header); err != nil {
		return fail(malformedError(to, err))
	}
	return &turmericwall.Answer{
		Status: reply.Status, Header: reply.Header, Length: reply.Length, NotRun: reply.NotRun, SentAt: sentAt,
		Framing: reply.Framing, Reused: reply.Reused,
		Body: &exchangeBody{reader: reader, Closer: response.Body},
	}, nil
}

// malformedError returns the error of an upstream's malformed answer that a peer of an earlier version has passed on.
func malformedError(to turmericwall.Upstream, cause error) error {
	limit := &turmericwall.LimitError{Limit: turmericwall.LimitMalformed}
	return &turmericwall.SendError{Sent: true, Err: fmt.Errorf("have a peer call %s: %w: %w", to.ID, limit, cause)}
}

// refusesExchange reports whether a peer answers with the status if it has sent nothing: it could not read the request, has no memory for
// it, or does not know the path.
func refusesExchange(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// exchangeBody is the body of an upstream's answer that came through a peer.
type exchangeBody struct {
	reader *bufio.Reader
	io.Closer
}

// Read reads the body. An error other than io.EOF is a SendError, since the peer or the path to it may be the cause.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		err = &turmericwall.SendError{Sent: true, PathLost: true, Err: fmt.Errorf("read through a peer: %w", err)}
	}
	return n, err
}

// readLine reads one line without its end.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line[:len(line)-1], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxExchangeHeadBytes {
			return nil, &turmericwall.LimitError{Limit: turmericwall.LimitHeadBytes, Max: maxExchangeHeadBytes}
		}
	}
}

// exchange sends a peer's request to an upstream, and returns the answer as it arrives.
func (s *Server) exchange(w http.ResponseWriter, request *http.Request) {
	content, release, err := s.exchanges.Read(request.Body, request.ContentLength)
	defer release()
	if err != nil {
		s.refuse(w, err)
		return
	}
	message, upstreamRequest, err := readExchange(content)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx := request.Context()
	if message.RemainingMillis > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(message.RemainingMillis)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	answer, err := s.config.Exchange(ctx, message.To, upstreamRequest)
	if err != nil {
		writeLine(w, exchangeError(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	writeLine(w, wireExchangeReply{
		Status: answer.Status, Header: answer.Header, Length: answer.Length, NotRun: answer.NotRun,
		Framing: answer.Framing, Reused: answer.Reused,
	})
	if err := copyAsItArrives(w, answer.Body); err != nil {
		// The peer must not take the part for the whole answer.
		panic(http.ErrAbortHandler)
	}
}

// readExchange reads a request to an upstream.
func readExchange(content []byte) (wireExchange, turmericwall.UpstreamRequest, error) {
	var message wireExchange
	line, rest, ok := bytes.Cut(content, []byte("\n"))
	if !ok {
		return message, turmericwall.UpstreamRequest{}, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(line, &message); err != nil {
		return message, turmericwall.UpstreamRequest{}, err
	}
	if message.HeadBytes <= 0 || message.HeadBytes > len(rest) {
		return message, turmericwall.UpstreamRequest{}, errors.New("the request's head is incomplete")
	}
	return message, turmericwall.UpstreamRequest{
		Head: rest[:message.HeadBytes:message.HeadBytes], Body: rest[message.HeadBytes:], Method: message.Method, CallID: message.CallID, ControlID: message.ControlID,
		OwnConnection: message.OwnConnection, IsOrder: message.IsOrder,
	}, nil
}

// exchangeError returns the reply for a request that got no answer.
func exchangeError(err error) wireExchangeReply {
	var refusal *turmericwall.EgressRefusal
	if errors.As(err, &refusal) {
		return wireExchangeReply{Refused: refusal.Reason, LostShare: refusal.LostShare}
	}
	reply := wireExchangeReply{Error: err.Error()}
	var limit *turmericwall.LimitError
	if errors.As(err, &limit) {
		reply.Limit, reply.LimitMax = limit.Limit, limit.Max
	}
	return reply
}

// writeLine sends a message as one line at once.
func writeLine(w http.ResponseWriter, message wireExchangeReply) {
	w.Header().Set("Content-Type", "application/octet-stream")
	// The message has no field that can't be encoded.
	line, _ := json.Marshal(message)
	_, _ = w.Write(append(line, '\n'))
	_ = http.NewResponseController(w).Flush()
}

// copyAsItArrives copies the body and sends each part at once.
func copyAsItArrives(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, exchangeBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

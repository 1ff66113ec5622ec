package twstandin

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineConfig describes an engine.
type EngineConfig struct {
	ID, Service, Zone string
	// Phase is prefill or decode.
	Phase string
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	Slots         int
	// TokenBytes is the size of one token in memory, and LinkMbps the rate of the engine's link.
	TokenBytes, LinkMbps float64
	// HasLateAnswer reports whether a second copy of the answer that has just ended is sent before the next answer on its
	// connection; nil means never.
	HasLateAnswer func(e *Engine) bool
	// OnMove is called as the engine is told by a machine to copy a run to the address of another engine; it may be nil.
	OnMove func(e *Engine, machine, to string)
}

const (
	// moveSetup is how long a move takes besides the transfer.
	moveSetup = 2700 * time.Microsecond
	// prefillTokensPerMilli is the speed of prefills.
	prefillTokensPerMilli = 55
	// endDelay is the time between the last event of a stream and the end of its answer.
	endDelay = 30 * time.Millisecond
	// drainSpan is how long after its leaving was acknowledged requests may still reach an engine, and contactSpan how long a cut
	// excuses those that come late after it.
	drainSpan, contactSpan = 2 * time.Second, 3 * time.Second
	tokensPerEvent         = 11
)

// Engines are the engines of a deployment. They fetch memory from each other.
type Engines struct {
	record  *Record
	store   *Store
	mu      sync.Mutex
	handles map[string]*handle
	// byAddress has all engines that were started.
	byAddress map[string]*Engine
}

// handle names memory that an engine keeps for another one.
type handle struct {
	// call is the request whose memory it is, and source the engine that gave the handle out.
	call   string
	source *Engine
	// copiedTo has the memory of a run that was moved; nil for a prompt, which is fetched from the source.
	copiedTo *Engine
	tokens   int
}

// NewEngines returns engines that register in the store.
func NewEngines(record *Record, store *Store) *Engines {
	return &Engines{record: record, store: store, handles: make(map[string]*handle), byAddress: make(map[string]*Engine)}
}

// Engine is a stand-in of one engine.
type Engine struct {
	engines  *Engines
	config   EngineConfig
	listener net.Listener
	// link carries one transfer at a time, in the order of the requests.
	link chan struct{}
	mu   sync.Mutex
	runs map[string]*run
	// holds are the reservations.
	holds map[string]bool
	conns map[*conn]bool
	// answers counts the answers to requests, and late those of them that were sent a second time.
	answers, late int
	leaving       bool
	// leftAt is when the store had acknowledged that the engine leaves.
	leftAt time.Time
	born   int64
	// cutUntil is when the path from a machine is whole again.
	cutUntil map[string]time.Time
}

// run is a request that is being decoded.
type run struct {
	stop chan struct{}
	// memory is the request whose memory the run goes on from.
	memory string
	tokens int
	// copied is the part of the tokens that was moved, by handle.
	copied int
	handle string
	moving bool
}

// Start starts an engine and registers it.
func (s *Engines) Start(config EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{
		engines: s, config: config, listener: listener, link: make(chan struct{}, 1), runs: make(map[string]*run),
		holds: make(map[string]bool), conns: make(map[*conn]bool), born: time.Now().UnixMilli(),
		cutUntil: make(map[string]time.Time),
	}
	s.mu.Lock()
	s.byAddress[e.Address()] = e
	s.mu.Unlock()
	go e.accept()
	e.register("ready")
	return e, nil
}

// ID returns the engine's id.
func (e *Engine) ID() string { return e.config.ID }

// Address returns HOST:PORT.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Running returns the number of runs.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// IsLeaving reports whether the engine has stated that it leaves.
func (e *Engine) IsLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Answers returns how many answers to requests the engine has sent, and how many of them twice.
func (e *Engine) Answers() (answers, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers, e.late
}

func (e *Engine) register(state string) {
	value := map[string]any{
		"service": e.config.Service, "address": e.Address(), "zone": e.config.Zone, "version": "v1", "slots": e.config.Slots,
		"state": state, "coldRemainingMs": 0, "seq": 1, "born": e.born,
	}
	if e.config.Phase != "" {
		value["phase"] = e.config.Phase
		value["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	e.engines.store.Put("servers", e.config.ID, value)
}

// Leave states that the engine leaves. It serves on for the span and then ends.
func (e *Engine) Leave(linger time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.register("draining")
	e.mu.Lock()
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.engines.record.Note("%s is draining", e.config.ID)
	time.AfterFunc(linger, func() {
		e.engines.record.Note("%s ends with %d runs", e.config.ID, e.Running())
		e.engines.store.Remove("servers", e.config.ID)
		e.Close()
	})
}

// CutFrom cuts the path between the engine and a machine, in both directions. What is sent meanwhile arrives afterwards.
func (e *Engine) CutFrom(machine string, span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutUntil[machine] = time.Now().Add(span)
	e.engines.record.Note("%s is cut from %s for %v", e.config.ID, machine, span)
}

// awaitPath returns once the path from a machine is whole.
func (e *Engine) awaitPath(machine string) {
	for {
		e.mu.Lock()
		left := time.Until(e.cutUntil[machine])
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// checkDrain checks a request that has reached the engine.
func (e *Engine) checkDrain(c *conn, r *http.Request) {
	e.mu.Lock()
	leftAt, cutUntil := e.leftAt, e.cutUntil[c.peer()]
	e.mu.Unlock()
	if leftAt.IsZero() || time.Since(leftAt) <= drainSpan || time.Since(cutUntil) < contactSpan {
		return
	}
	e.engines.record.Break("DRAIN", "%s gets %s %v after it was acknowledged that it is draining", e.config.ID,
		r.Header.Get("X-Request-Id"), time.Since(leftAt))
}

// Close ends the engine with all that it runs.
func (e *Engine) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *Engine) accept() {
	for {
		inner, err := e.listener.Accept()
		if err != nil {
			return
		}
		machine, _, _ := net.SplitHostPort(inner.RemoteAddr().String())
		c := newConn(inner, func() { e.awaitPath(machine) })
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *Engine) serve(c *conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(c.extra) > 0 {
			e.engines.record.Note("%s sends an answer a second time, before the one to %s %s", e.config.ID, request.Method, request.URL.Path)
			if _, err := c.Write(c.extra); err != nil {
				return
			}
			c.extra = nil
		}
		if !e.handle(c, request, body) {
			return
		}
	}
}

// handle answers one request, and reports whether the connection stays open.
func (e *Engine) handle(c *conn, r *http.Request, body []byte) bool {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.config.ID {
		return e.respond(c, r, http.StatusMisdirectedRequest, http.Header{"X-Instance-Id": {e.config.ID}}, nil)
	}
	path := r.URL.Path
	switch {
	case path == "/healthz":
		return e.respond(c, r, http.StatusOK, http.Header{"X-Instance-Id": {e.config.ID}}, nil)
	case path == "/-/report":
		return e.respondJSON(c, r, http.StatusOK, e.report())
	case path == "/-/kv-list":
		return e.respondJSON(c, r, http.StatusOK, map[string]any{"epoch": e.born, "next": 1, "held": []any{}})
	case path == "/-/hold-take":
		return e.takeHold(c, r)
	case strings.HasPrefix(path, "/-/hold-drop/"):
		e.mu.Lock()
		delete(e.holds, strings.TrimPrefix(path, "/-/hold-drop/"))
		e.mu.Unlock()
		return e.respond(c, r, http.StatusOK, nil, nil)
	case strings.HasPrefix(path, "/-/kv-handle/"):
		e.engines.drop(strings.TrimPrefix(path, "/-/kv-handle/"))
		return e.respond(c, r, http.StatusOK, nil, nil)
	case path == "/-/kv-move":
		return e.move(c, r, body)
	case path == "/-/order":
		return e.respond(c, r, http.StatusConflict, nil, nil)
	case strings.HasPrefix(path, "/-/"):
		return e.respond(c, r, http.StatusNotFound, nil, nil)
	}
	e.checkDrain(c, r)
	if r.Header.Get("X-Stage") == "prefill" {
		return e.prefill(c, r)
	}
	return e.decode(c, r)
}

func (e *Engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	return map[string]any{
		"phase": e.config.Phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "active": false, "seq": 0,
		"waiting": 0, "running": len(e.runs), "kvUsed": 0, "kvTotal": 59571, "kvHandles": 0, "state": state, "born": e.born,
	}
}

func (e *Engine) takeHold(c *conn, r *http.Request) bool {
	e.mu.Lock()
	full := len(e.runs)+len(e.holds) >= e.config.Slots
	name := newName()
	if !full {
		e.holds[name] = true
		time.AfterFunc(2*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.holds, name)
		})
	}
	e.mu.Unlock()
	if full {
		return e.respond(c, r, http.StatusServiceUnavailable, nil, nil)
	}
	return e.respondJSON(c, r, http.StatusOK, map[string]any{"hold": name})
}

func newName() string {
	var name [6]byte
	_, _ = rand.Read(name[:])
	return hex.EncodeToString(name[:])
}

// head returns the head of an answer to the request.
func (e *Engine) head(r *http.Request, status int, header http.Header) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get("X-Request-Id"); id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	_ = header.Write(&b)
	if e.IsLeaving() {
		b.WriteString("Connection: close\r\n")
	} else {
		b.WriteString("Keep-Alive: timeout=5\r\n")
	}
	return b.Bytes()
}

func (e *Engine) respond(c *conn, r *http.Request, status int, header http.Header, body []byte) bool {
	closing := e.IsLeaving()
	b := fmt.Appendf(e.head(r, status, header), "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(b)
	return err == nil && !closing
}

func (e *Engine) respondJSON(c *conn, r *http.Request, status int, value any) bool {
	body, _ := json.Marshal(value)
	return e.respond(c, r, status, http.Header{"Content-Type": {"application/json"}}, body)
}

func (e *Engine) refuse(c *conn, r *http.Request, reason string) bool {
	e.engines.record.Note("%s refuses %s: %s", e.config.ID, r.Header.Get("X-Request-Id"), reason)
	return e.respond(c, r, http.StatusServiceUnavailable, http.Header{"X-Not-Executed": {"1"}}, nil)
}

// usage returns the numbers of X-Token-Usage.
func usage(r *http.Request) (prompt, output int) {
	before, after, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(before)
	output, _ = strconv.Atoi(after)
	return prompt, output
}

func (e *Engine) prefill(c *conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if e.config.Phase != "prefill" {
		return e.respond(c, r, http.StatusMisdirectedRequest, nil, nil)
	}
	tokens, _ := usage(r)
	e.link <- struct{}{}
	time.Sleep(time.Duration(tokens) * time.Millisecond / prefillTokensPerMilli)
	<-e.link
	name := newName()
	e.engines.mu.Lock()
	e.engines.handles[name] = &handle{call: id, source: e, tokens: tokens}
	e.engines.mu.Unlock()
	e.engines.record.Note("%s prefills %s: handle %s", e.config.ID, id, name)
	return e.respondJSON(c, r, http.StatusOK, map[string]any{"kvHandle": name, "tokens": tokens, "version": 1})
}

func (s *Engines) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handles, name)
}

// take uses a handle at an engine; a handle can be used once.
func (s *Engines) take(source string, by *Engine) (*handle, bool) {
	address, name, _ := strings.Cut(source, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handles[name]
	if !ok || h.source.Address() != address || (h.copiedTo != nil && h.copiedTo != by && h.source != by) {
		return nil, false
	}
	delete(s.handles, name)
	return h, true
}

// decode runs a request.
func (e *Engine) decode(c *conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if e.config.Phase == "prefill" {
		return e.respond(c, r, http.StatusMisdirectedRequest, nil, nil)
	}
	prompt, output := usage(r)
	one := &run{stop: make(chan struct{}), memory: id, tokens: prompt}
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		h, ok := e.engines.take(source, e)
		if !ok {
			return e.refuse(c, r, "no memory under the handle "+source)
		}
		one.memory = h.call
		if h.call != id {
			e.engines.record.Break("MIXED", "%s runs %s from the handle %s of %s", e.config.ID, id, source, h.call)
		}
	}
	e.mu.Lock()
	hold := r.Header.Get("X-Kv-Hold")
	held := hold != "" && e.holds[hold]
	delete(e.holds, hold)
	if !held && len(e.runs) >= e.config.Slots {
		e.mu.Unlock()
		return e.refuse(c, r, "full")
	}
	e.runs[id] = one
	e.mu.Unlock()
	e.engines.record.Note("%s runs %s after event %q", e.config.ID, id, r.Header.Get("Last-Event-Id"))
	return e.stream(c, r, one, output/tokensPerEvent)
}

// stream sends the events of a run, after the last one that the request names.
func (e *Engine) stream(c *conn, r *http.Request, one *run, events int) bool {
	id := r.Header.Get("X-Request-Id")
	signature := "sig." + e.config.ID + "." + id
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Server-Signature": {signature}, "X-Weight-Versions": {"1"}}
	closing := e.IsLeaving()
	head := e.head(r, http.StatusOK, header)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == one {
			delete(e.runs, id)
		}
	}()
	if _, err := c.Write(append(head, "Transfer-Encoding: chunked\r\n\r\n"...)); err != nil {
		return false
	}
	var whole bytes.Buffer
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(e.config.EventInterval):
		case <-one.stop:
			return false
		case <-c.left:
			e.engines.record.Note("%s: the connection of %s was closed at event %d", e.config.ID, id, n)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, one.memory, n)
		whole.WriteString(event)
		e.mu.Lock()
		one.tokens += tokensPerEvent
		e.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	e.mu.Lock()
	if e.runs[id] == one {
		delete(e.runs, id)
	}
	e.answers++
	e.mu.Unlock()
	time.Sleep(endDelay)
	select {
	case <-one.stop:
		return false
	default:
	}
	if e.config.HasLateAnswer != nil && !closing && e.config.HasLateAnswer(e) {
		e.mu.Lock()
		e.late++
		e.mu.Unlock()
		c.extra = fmt.Appendf(head, "Content-Length: %d\r\n\r\n%s", whole.Len(), whole.Bytes())
	}
	e.engines.record.Note("%s has completed %s", e.config.ID, id)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && !closing
}

// move copies the memory of a run to another engine, and stops the run before that if it is the last time.
func (e *Engine) move(c *conn, r *http.Request, body []byte) bool {
	var request struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &request) != nil {
		return e.respond(c, r, http.StatusBadRequest, nil, nil)
	}
	target := e.engines.find(request.To)
	e.mu.Lock()
	one, ok := e.runs[request.ID]
	switch {
	case !ok:
		e.mu.Unlock()
		e.engines.record.Note("%s is to move %s, which doesn't run there", e.config.ID, request.ID)
		return e.respond(c, r, http.StatusNotFound, nil, nil)
	case one.moving:
		e.mu.Unlock()
		return e.respond(c, r, http.StatusConflict, nil, nil)
	}
	one.moving = true
	if request.Last {
		close(one.stop)
		delete(e.runs, request.ID)
	}
	e.mu.Unlock()
	e.engines.record.Note("%s is to move %s to %s, last %t", e.config.ID, request.ID, request.To, request.Last)
	if e.config.OnMove != nil && !request.Last {
		e.config.OnMove(e, c.peer(), request.To)
	}
	if target == nil {
		e.endMove(one)
		return e.respond(c, r, http.StatusServiceUnavailable, nil, nil)
	}
	e.link <- struct{}{}
	e.mu.Lock()
	tokens, fresh := one.tokens, one.tokens-one.copied
	one.copied = tokens
	e.mu.Unlock()
	span := float64(fresh) * e.config.TokenBytes * 8 / (e.config.LinkMbps * 1e6)
	if target.config.Zone != e.config.Zone {
		span *= 2
	}
	time.Sleep(moveSetup + time.Duration(span*float64(time.Second)))
	<-e.link
	e.endMove(one)
	e.engines.mu.Lock()
	if one.handle == "" {
		one.handle = newName()
	}
	e.engines.handles[one.handle] = &handle{call: one.memory, source: e, copiedTo: target, tokens: tokens}
	name := one.handle
	e.engines.mu.Unlock()
	e.engines.record.Note("%s has moved %s: handle %s", e.config.ID, request.ID, name)
	return e.respondJSON(c, r, http.StatusOK, map[string]any{"kvHandle": name, "created": 0})
}

func (e *Engine) endMove(one *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	one.moving = false
}

// find returns the engine at the address; nil if there is none.
func (s *Engines) find(address string) *Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address]
}

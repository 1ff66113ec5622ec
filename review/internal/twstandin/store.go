package twstandin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readDelay and writeDelay are how long the store takes for an answer.
	readDelay, writeDelay = 4 * time.Millisecond, 5 * time.Millisecond
	maxRows               = 500
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a stand-in of the platform's store.
type Store struct {
	server  *http.Server
	address string
	began   time.Time
	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version int64
	changed chan struct{}
}

// NewStore starts a store without rows.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: listener.Addr().String(), rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.list)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns HOST:PORT.
func (s *Store) Address() string { return s.address }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a row as the operator or an engine does, and returns its version.
func (s *Store) Put(table, key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: encoded})
	s.wake()
	return s.version
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

func (s *Store) write(r row) {
	r.Ver = s.version
	s.log = append(s.log, r)
	if r.Deleted {
		delete(s.rows, r.name())
		return
	}
	s.rows[r.name()] = r
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "morePages": more, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds(),
	})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("source") &&
			(q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	slices.SortFunc(rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ended := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, one := range s.log {
			if one.Ver > after && one.Table == q.Get("table") {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-ended:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(writeDelay)
	var request struct {
		ExpectedRev, Put, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, expected := range request.ExpectedRev {
		known, ok := s.rows[expected.name()]
		if ok {
			current = append(current, known)
		}
		met = met && known.Ver == expected.Ver
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, one := range request.Put {
		s.write(one)
	}
	for _, one := range request.Remove {
		one.Deleted = true
		s.write(one)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}

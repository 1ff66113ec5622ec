// Package twrows is a stand-in for the platform's metadata store: rows in tables, conditional transactions and a feed of changes, all
// linearizable and in memory.
package twrows

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// historyLength is how many changes the feed remembers.
const historyLength = 20_000

// Row is one row as the store encodes it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store is the store. Its methods are safe for concurrent use.
type Store struct {
	startedAt time.Time
	mu        sync.Mutex
	rows      map[rowKey]Row
	changes   []Row
	version   int64
	changed   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{startedAt: time.Now(), rows: make(map[rowKey]Row), changed: make(chan struct{})}
}

// Put writes one row for the operator or a server, and returns its version.
func (s *Store) Put(table, key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(Row{Table: table, Key: key, Value: encoded, Ver: s.version})
	return s.version
}

// Remove removes one row of the operator or a server.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table: table, key: key}]; !ok {
		return
	}
	s.version++
	s.put(Row{Table: table, Key: key, Ver: s.version, Deleted: true})
}

// put applies one change; the lock is held.
func (s *Store) put(row Row) {
	k := rowKey{table: row.Table, part: row.Part, key: row.Key}
	if row.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = row
	}
	s.changes = append(s.changes, row)
	if len(s.changes) > historyLength {
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "POST /-/rows-tx":
		s.transact(w, request)
	case "GET /-/rows-get":
		s.list(w, request)
	case "GET /-/rows-feed":
		s.follow(w, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) transact(w http.ResponseWriter, request *http.Request) {
	var body struct {
		ExpectedRev []Row `json:"expectedRev"`
		Put         []Row `json:"put"`
		Remove      []Row `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range append(append([]Row{}, body.Put...), body.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []Row
	failed := false
	for _, r := range body.ExpectedRev {
		row := s.rows[rowKey{table: r.Table, part: r.Part, key: r.Key}]
		failed = failed || row.Ver != r.Ver
		if row.Ver > 0 {
			current = append(current, row)
		}
	}
	if failed {
		s.write(w, http.StatusPreconditionFailed, map[string]any{"rows": nonNil(current)})
		return
	}
	s.version++
	for _, r := range body.Put {
		r.Ver, r.Deleted = s.version, false
		s.put(r)
	}
	for _, r := range body.Remove {
		r.Ver, r.Deleted, r.Value = s.version, true, nil
		s.put(r)
	}
	s.write(w, http.StatusOK, map[string]any{})
}

func (s *Store) list(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Row
	for k, row := range s.rows {
		if k.table == query.Get("table") && k.part == query.Get("part") && k.key >= query.Get("source") &&
			(query.Get("to") == "" || k.key < query.Get("to")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.write(w, http.StatusOK, map[string]any{"rows": nonNil(found), "morePages": false})
}

func (s *Store) follow(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timeout.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		if len(s.changes) > 0 && after < s.changes[0].Ver-1 {
			s.write(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		var found []Row
		for _, row := range s.changes {
			if row.Table == query.Get("table") && row.Ver > after {
				found = append(found, row)
			}
		}
		changed := s.changed
		if len(found) > 0 || isOver {
			s.write(w, http.StatusOK, map[string]any{"rows": nonNil(found)})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

// write sends an answer with the newest version and the store's clock; the lock is held.
func (s *Store) write(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["nowMs"] = s.version, time.Since(s.startedAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func nonNil(rows []Row) []Row {
	if rows == nil {
		return []Row{}
	}
	return rows
}

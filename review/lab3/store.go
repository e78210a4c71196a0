package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. All rows are in part "".
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	rows    map[rowKey]*row
	version int64
	started time.Time
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   string `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type transaction struct {
	Precondition []struct {
		rowKey
		Version int64 `json:"ver"`
	} `json:"precondition"`
	Put []struct {
		rowKey
		Value string `json:"value"`
	} `json:"put"`
	Remove []rowKey `json:"remove"`
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), changed: make(chan struct{}), rows: map[rowKey]*row{}, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a row as the operator or an upstream does. Its return is the confirmation.
func (s *store) put(table, key string, value any) (version int64) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = &row{rowKey: k, Value: base64.StdEncoding.EncodeToString(b), Version: s.version}
	s.notify()
	return s.version
}

// notify wakes the calls that wait for a change. s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, rows []*row, more bool) {
	if rows == nil {
		rows = []*row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const most = 500
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []*row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && !v.Removed {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > most
	s.respond(w, rows[:min(most, len(rows))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		var rows []*row
		for k, v := range s.rows {
			if k.Table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		if len(rows) > 0 || !waiting {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.respond(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Precondition {
		version := int64(0)
		if v := s.rows[p.rowKey]; v != nil && !v.Removed {
			version = v.Version
		}
		if version != p.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, p := range tx.Put {
		s.rows[p.rowKey] = &row{rowKey: p.rowKey, Value: p.Value, Version: s.version}
	}
	for _, k := range tx.Remove {
		s.rows[k] = &row{rowKey: k, Version: s.version, Removed: true}
	}
	s.notify()
	s.respond(w, nil, false)
}

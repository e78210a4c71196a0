package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	ln  net.Listener
	srv *http.Server

	mu       sync.Mutex
	rows     map[string]row // by table/key; removed rows stay as history
	version  int64
	era      int64
	down     bool // answers 503
	silent   map[string]bool
	changed  chan struct{}
	born     time.Time
	conns    map[string]bool
	lateTx   func(tx transaction) time.Duration // how much later a write is done and its answer lost; 0 for at once
	onChange func(tx transaction)
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Put          []row `json:"put"`
	Remove       []row `json:"remove"`
}

const storeLatency = 4 * time.Millisecond

func startStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), silent: map[string]bool{}, conns: map[string]bool{}, born: time.Now()}
	s.ln = listen()
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st == http.StateClosed {
			delete(s.conns, c.RemoteAddr().String())
		} else {
			s.conns[c.RemoteAddr().String()] = true
		}
	}}
	go s.srv.Serve(s.ln)
	return s
}

func (s *store) address() string { return s.ln.Addr().String() }

// bump wakes the feeds. s.mu must be held.
func (s *store) bump() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as an operator or worker does. It fails while the store is away.
func (s *store) put(table, key string, value any) bool {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b), Version: s.version}
	s.bump()
	return true
}

func (s *store) remove(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Version: s.version, Removed: true}
	s.bump()
	return true
}

type storeCopy struct {
	rows    map[string]row
	version int64
}

func (s *store) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.rows), s.version}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.bump()
}

// restore brings the store back with the content of a copy.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.era++
	s.down = false
	s.bump()
}

// silence makes all open connections silent for good; new ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.silent[c] = true
	}
}

func (s *store) get(table, key string) (r row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok = s.rows[table+"/"+key]
	return r, ok && !r.Removed
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	down, silent := s.down, s.silent[r.RemoteAddr]
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case "/v1/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageRows = 500

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for name, x := range s.rows {
		if x.Table == q.Get("table") && name == x.Table+"/"+x.Key && !x.Removed && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	ver := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	more := len(rows) > limit
	s.answer(w, 200, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		if s.silent[r.RemoteAddr] {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		ver, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, 200, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(slices.Clone(tx.Put), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.lateTx != nil {
		if d := s.lateTx(tx); d > 0 {
			time.AfterFunc(d, func() { s.apply(tx) })
			<-r.Context().Done()
			return
		}
	}
	ok, rows, ver := s.apply(tx)
	if !ok {
		s.answer(w, 412, map[string]any{"rows": rows, "ver": ver})
		return
	}
	s.answer(w, 200, map[string]any{"ver": ver})
}

func (s *store) apply(tx transaction) (ok bool, rows []row, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, p := range tx.Precondition {
		var at int64
		x := s.rows[p.Table+"/"+p.Key]
		if !x.Removed {
			at = x.Version
		}
		rows = append(rows, x)
		ok = ok && at == p.Version
	}
	if !ok {
		return false, rows, s.version
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.rows[p.Table+"/"+p.Key] = p
	}
	for _, p := range tx.Remove {
		s.rows[p.Table+"/"+p.Key] = row{Table: p.Table, Key: p.Key, Version: s.version, Removed: true}
	}
	s.bump()
	return true, nil, s.version
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body["rows"] == nil || body["rows"].([]row) == nil {
		body["rows"] = []row{}
	}
	body["now_ms"] = time.Since(s.born).Milliseconds()
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

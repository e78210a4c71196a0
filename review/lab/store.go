package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store. A removed row stays as a marker for feeds.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // base64
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// storeCopy is the content of a store at one moment.
type storeCopy struct {
	rows map[string]row
	ver  int64
}

// store is the platform's store, as far as entry hosts use it: rows, feeds and transactions
// as PROTOCOL.md says, and the eras of the fourth letter.
type store struct {
	start   time.Time
	address string

	mu      sync.Mutex
	rows    map[string]row
	ver     int64
	era     int64
	down    bool
	changed chan struct{} // closed at each change
}

func startStore() (s *store, err error) {
	s = &store{start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	s.address, err = s.listen(func() bool { return false })
	return s, err
}

// listen serves the store at another address, where it turns callers away with 503 as long as
// turnedAway says so.
func (s *store) listen(turnedAway func() bool) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if turnedAway() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, req)
		}))
	}()
	return ln.Addr().String(), nil
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitUp waits until the store is not away. Workers and the operator write nothing before.
func (s *store) waitUp() {
	for s.isDown() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes a row and returns when the store has confirmed it.
func (s *store) put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.waitUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	r := row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b), Ver: s.ver}
	s.rows[r.id()] = r
	s.wake()
	return time.Now()
}

func (s *store) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), ver: s.ver}
}

// setDown makes the store answer 503, which says that nothing was done.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore replaces the content by an older copy, in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.ver = maps.Clone(c.rows), c.ver
	s.era++
	s.wake()
}

// keys returns the keys of a table's rows.
func (s *store) keys(table string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && !r.Removed {
			keys = append(keys, r.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ready writes the era, and 503 while the store is down. It returns false then.
func (s *store) ready(w http.ResponseWriter) bool {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *store) reply(w http.ResponseWriter, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds()})
}

// after returns the rows of a table that changed after a version, in the order of keys for
// reads and of changes for feeds.
func (s *store) after(table, part string, ver int64, feed bool) (rows []row) {
	for _, r := range s.rows {
		if r.Table == table && r.Ver > ver && (feed || r.Part == part && !r.Removed) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if feed {
			return int(a.Ver - b.Ver)
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return rows
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready(w) {
		return
	}
	var rows []row
	for _, r := range s.after(req.FormValue("table"), req.FormValue("part"), -1, false) {
		if r.Key >= req.FormValue("from") {
			rows = append(rows, r)
		}
	}
	s.reply(w, rows)
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseInt(req.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(req.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for late := false; ; {
		if s.down || era != s.era || after > s.ver {
			if s.ready(w) {
				w.WriteHeader(http.StatusGone)
			}
			return
		}
		if rows := s.after(req.FormValue("table"), "", after, true); len(rows) > 0 || late {
			s.ready(w)
			s.reply(w, rows)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			late = true
		}
		s.mu.Lock()
	}
}

func (s *store) tx(w http.ResponseWriter, req *http.Request) {
	var t struct {
		Precondition, Put, Remove []row
	}
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // tx_ms
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready(w) {
		return
	}
	for _, c := range t.Precondition {
		if s.rows[c.id()].Ver != c.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.ver++
	for _, r := range t.Put {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	for _, r := range t.Remove {
		r.Ver, r.Removed = s.ver, true
		s.rows[r.id()] = r
	}
	s.wake()
	s.reply(w, nil)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	r := row{Table: table, Key: key, Ver: s.ver, Removed: true}
	s.rows[r.id()] = r
	s.wake()
}

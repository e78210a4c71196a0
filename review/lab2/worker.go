package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	at                                     time.Time
	id, method, path, tenant, auth, worker string
	service                                string
}

var (
	runsMu sync.Mutex
	runs   []run
)

func runsOf(id string) (n int) {
	runsMu.Lock()
	defer runsMu.Unlock()
	for _, r := range runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// worker is a stand-in of a worker that registers itself in the store.
type worker struct {
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	ln                net.Listener
	srv               *http.Server
	running           atomic.Int32

	mu       sync.Mutex
	state    string // "" while it does not write to the store
	leaving  bool
	sequence int
	store    *store
	handle   func(w http.ResponseWriter, r *http.Request) bool // returns true if it has answered
}

const heartbeat = 1500 * time.Millisecond

func startWorker(id, service, zone string, slots int, work time.Duration, s *store) *worker {
	w := &worker{id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), state: "ready", store: s}
	w.ln = listen()
	w.srv = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.srv.Serve(w.ln)
	w.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			w.beat()
		}
	}()
	return w
}

// beat writes the worker's entry, as each heartbeat does. The entry changes when more than the
// sequence does.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "" || w.listed() == w.state {
		return
	}
	w.sequence++
	w.store.put("servers", w.id, map[string]any{"service": w.service, "address": w.ln.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": w.state, "warmup_left_ms": 0, "sequence": w.sequence, "born": w.born})
}

// listed returns the state in the worker's entry, "" without one.
func (w *worker) listed() string {
	r, ok := w.store.get("servers", w.id)
	if !ok {
		return ""
	}
	b, _ := base64.StdEncoding.DecodeString(r.Value)
	var entry struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(b, &entry)
	return entry.State
}

// drain reports that the worker leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state, w.leaving = "draining", true
	w.mu.Unlock()
	w.beat()
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

func (w *worker) load(h http.Header) {
	n := int(w.running.Load())
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", min(n, w.slots), max(0, n-w.slots), w.slots))
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	leaving := w.isLeaving()
	if leaving { // a worker that leaves says so in all its answers
		rw.Header().Set("Connection", "close")
		rw.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		w.load(rw.Header())
		if leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(w.running.Load()) >= w.slots+8 {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	runsMu.Lock()
	runs = append(runs, run{time.Now(), id, r.Method, r.URL.RequestURI(), r.Header.Get("X-Tenant"), r.Header.Get("Authorization"), w.id, w.service})
	runsMu.Unlock()
	rec.line("worker %s runs %s %s, tenant %q", w.id, id, r.URL.RequestURI(), r.Header.Get("X-Tenant"))
	body, _ := io.ReadAll(r.Body)
	if w.handle != nil && w.handle(rw, r) {
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		rec.line("worker %s: the connection of %s was closed", w.id, id)
		return
	}
	answer := fmt.Sprintf("answer of %s to %s, %d bytes", w.id, id, len(body))
	rw.Header().Set("X-Response-Seal", "seal-"+id)
	w.load(rw.Header())
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(rw, answer)
}

// item returns a resource of a configuration.
func item(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"entry_kind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

func limitsItem() map[string]any {
	return item("limits", "", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
}

func serviceItem(name string) map[string]any {
	return item("services", name, map[string]any{"health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false})
}

func document(version int, items ...map[string]any) map[string]any {
	return map[string]any{"version": version, "base_version": version - 1, "resources": items}
}

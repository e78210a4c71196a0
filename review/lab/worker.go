package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a run of a request at a worker.
type run struct {
	ID, Tenant, Worker string
	At                 time.Time
}

// worker is a back end as PROTOCOL.md says: it runs as many requests as it has slots, and
// turns others away with X-Not-Executed.
type worker struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	onRun                      func(run)

	mu       sync.Mutex
	running  int
	sequence int
	born     int64
}

func startWorker(id, service, zone string, slots int, work time.Duration, onRun func(run)) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, slots: slots, work: work, onRun: onRun, born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, w) }()
	return w, nil
}

// entry returns the worker's row in servers.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

// beat writes the worker's row every 1.5 s until stop is closed.
func (w *worker) beat(s *store, stop <-chan struct{}) {
	for {
		s.put("servers", w.id, w.entry())
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (w *worker) load(h http.Header) {
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", w.running, w.slots))
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.mu.Lock()
		w.load(rw.Header())
		w.mu.Unlock()
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.running >= w.slots {
		w.load(rw.Header())
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.mu.Unlock()
	id := req.Header.Get("X-Attempt-Id")
	w.onRun(run{ID: id, Tenant: req.Header.Get("X-Tenant"), Worker: w.id, At: time.Now()})
	time.Sleep(w.work)
	w.mu.Lock()
	w.running--
	w.load(rw.Header())
	w.mu.Unlock()
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = io.WriteString(rw, "ran at "+w.id+"\n")
}

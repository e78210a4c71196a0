package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// upstream is a stand-in of a worker. It runs each request for work, and answers with a seal,
// the id of the request and a body that names the request.
type upstream struct {
	id, service, zone string
	slots             int
	work              time.Duration
	fleet             *fleet
	// spoil returns bytes in place of the answer to a request that has run, nil for none.
	spoil func(req *http.Request) []byte

	ln      net.Listener
	running atomic.Int32
	slot    chan struct{}
}

func (f *fleet) startUpstream(service, zone string, slots int, work time.Duration) *upstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.cannotRun(err)
	}
	u := &upstream{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots, work: work, fleet: f, ln: ln,
		slot: make(chan struct{}, slots),
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(nc)
		}
	}()
	u.register()
	f.upstreams = append(f.upstreams, u)
	return u
}

// register writes the upstream's row. Heartbeats change nothing but its sequence, and so not the
// entry.
func (u *upstream) register() {
	u.fleet.store.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.ln.Addr().String(), "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (u *upstream) load() string {
	running := int(u.running.Load())
	return fmt.Sprintf("%d,%d,%d,100", min(running, u.slots), max(0, running-u.slots), u.slots)
}

func (u *upstream) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == healthPath {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", u.id, u.load())
			continue
		}
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		if !u.run(nc, r, req, body) {
			return
		}
	}
}

// run runs a request and answers it. It returns false once the connection has ended, with which
// the request is dropped.
func (u *upstream) run(nc net.Conn, r *bufio.Reader, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	u.fleet.arrived(id, u.id)
	u.running.Add(1)
	defer u.running.Add(-1)
	gone, peeked := make(chan struct{}), make(chan struct{})
	go func() { // sees the close of the connection; the host sends nothing before the answer
		defer close(peeked)
		if _, err := r.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	select {
	case u.slot <- struct{}{}:
		defer func() { <-u.slot }()
	case <-gone:
		return false
	}
	select {
	case <-time.After(u.work):
	case <-gone:
		u.fleet.dropped(id, u.id)
		return false
	}
	_ = nc.SetReadDeadline(time.Unix(1, 0)) // ends Peek
	<-peeked
	_ = nc.SetReadDeadline(time.Time{})
	u.fleet.ran(id, u.id)
	if u.spoil != nil {
		if b := u.spoil(req); b != nil {
			u.fleet.recordf("upstream %s spoils its answer to %s", u.id, id)
			_, err := nc.Write(b)
			return err == nil
		}
	}
	answer := answerTo(id)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, u.load(), len(answer), answer)
	return err == nil
}

// answerTo returns the body of the answer to a request.
func answerTo(id string) string { return strings.Repeat("answer to "+id+"\n", 40) }

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

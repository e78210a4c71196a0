package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// answer is what a client gets for a request.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 without a complete answer
	header http.Header
	body   string
	err    error
}

// send sends a request of a client on a new connection.
func send(h *host, method, hostName, path, key, body string, deadline time.Duration) (a answer) {
	a.id = fmt.Sprintf("q%06d", lastRequest.Add(1))
	req, err := http.NewRequest(method, "http://"+h.caller+path, strings.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	t := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	a.sent = time.Now()
	rec.line("client sends %s %s %s key %q to %s", a.id, method, path, key, h.id)
	resp, err := (&http.Client{Transport: t, Timeout: deadline}).Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.body, a.header = string(b), resp.Header
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sent)
	reason := ""
	if a.header != nil {
		reason = a.header.Get("Siskin-Reason")
	}
	rec.line("client gets %d %s for %s after %d ms (%v)", a.status, reason, a.id, a.took.Milliseconds(), err)
	return a
}

// Command lab plays one case of the review: entry hosts as processes of their own, and
// stand-ins of the platform, the back ends and the callers in this process.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the longest time that a case may take.
const longestRun = 110 * time.Second

// recorder writes record.txt.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	out   io.Writer
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// lab holds what a case has started.
type lab struct {
	*recorder
	trouble string // "" for the disruptions of the case, "0" for none
	program string
	dir     string
	hosts   []*entryHost

	mu      sync.Mutex
	runs    map[string][]run // by attempt
	stopped chan struct{}
}

// stop ends all processes.
func (l *lab) stop() {
	close(l.stopped)
	for _, h := range l.hosts {
		h.kill()
	}
}

func (l *lab) recordRun(r run) {
	l.mu.Lock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
	l.mu.Unlock()
}

func (l *lab) runsOf(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// newID returns an X-Attempt-Id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a caller got for an attempt.
type answer struct {
	id     string
	sent   time.Time
	status int    // 0 without an answer
	reason string // the host's, of an answer of its own; for the record only
	err    error
	body   string

	address string // set by the case
}

// send sends one attempt on a new connection, as a caller does.
func send(method, address, host, path, key, body string, limit time.Duration) (a answer) {
	a.id, a.sent = newID(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(b), err
	a.reason = resp.Header.Get("Siskin-Reason")
	return a
}

// resolve asks a directory which addresses callers of a zone may use.
func resolve(directory, name, zone string) (addresses []string) {
	c := &http.Client{Timeout: time.Second}
	q := url.Values{"name": {name}, "region": {"be-flanders"}, "zone": {zone}}
	resp, err := c.Get("http://" + directory + "/v1/resolve?" + q.Encode())
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct{ Addresses []string }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&v) != nil {
		return nil
	}
	return v.Addresses
}

func main() {
	cases := map[string]func(*lab) (broken bool, err error){"lost-machines": lostMachines, "replaced": replaced, "pipelined": pipelined, "descriptors": descriptors, "revoked-key": revokedKey, "quota": quota, "quota-at-first-start": quotaAtFirstStart, "weights": weights, "deadly": deadly}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE siskinpath-entry")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(judge func(*lab) (bool, error), program string) (code int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := &lab{
		recorder: &recorder{start: time.Now(), out: os.Stdout}, trouble: os.Getenv("TROUBLE"), program: program, dir: dir,
		runs: map[string][]run{}, stopped: make(chan struct{}),
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	var broken bool
	go func() {
		defer close(done)
		broken, err = judge(l)
	}()
	select {
	case <-done:
	case <-ended:
		err = errors.New("ended by a signal")
	case <-time.After(longestRun):
		err = fmt.Errorf("not done after %v", longestRun)
	}
	l.stop()
	switch {
	case err != nil:
		l.line("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.line("BROKEN")
		return exitBroken
	}
	l.line("held")
	return exitHeld
}

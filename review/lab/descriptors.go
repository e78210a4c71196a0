package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// maxDescriptors is what a machine of max_fds 2,870 leaves for sockets, and 10 for files.
	maxDescriptors = 2670 + 10
	// usualRequesters is how many the site has, and burstFactor the dose of its bursts.
	usualRequesters = 1601
	burstPercent    = 170
	burstTime       = 3 * time.Second
)

// smallBounds are those of nkabom-ring-now-grown.
var smallBounds = bounds{configMs: 2500, drainMs: 2500, graceMs: 6000}

// smallMachine gives a host the figures of the smallest machines of nkabom-ring-now-grown.
func smallMachine(h *entryHost) {
	h.rest = strings.NewReplacer("memory_mb = 241", "memory_mb = 136", "cores = 0.272", "cores = 0.112", "link_mbps = 830.0", "link_mbps = 10.0",
		"repeat_slack = 76", "repeat_slack = 285").Replace(h.rest)
}

// limitDescriptors makes the process of a host end up with the descriptors of its machine.
func limitDescriptors(h *entryHost) {
	h.command = func() *exec.Cmd {
		return exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" serve", maxDescriptors), h.program)
	}
}

// descriptors has all machines lose power, of which one comes back, and requesters connect to
// it again, each on one connection. As the disruption there are many more of them for a while.
func descriptors(l *lab) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.put("op", "config", configOf(7, routeOf("acts", "/acts/", "safe", "booking"), serviceOf("booking"), limits()))
	for i, zone := range fleetZones {
		for j := range 3 {
			w, err := startWorker(fmt.Sprintf("i-%d-%d", i, j), "booking", zone, 6, 10*time.Millisecond, l.recordRun)
			if err != nil {
				return false, err
			}
			go w.beat(s, l.stopped)
		}
		h, err := newEntryHost(fmt.Sprintf("front-%s-1", zone), zone, l.program, l.dir, s.address, smallBounds)
		if err != nil {
			return false, err
		}
		smallMachine(h)
		limitDescriptors(h)
		l.hosts = append(l.hosts, h)
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if err := waitReady(l.hosts, 25*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	before := l.newRequesters("before the loss of power", 5*time.Second)
	for _, h := range l.hosts {
		h.kill()
	}
	l.line("all machines lose power; %s comes back, the others are lost for good", l.hosts[0].id)
	time.Sleep(darkTime)
	h := l.hosts[0]
	if err := h.start(false); err != nil {
		return false, err
	}
	if err := waitReady(l.hosts[:1], 10*time.Second); err != nil {
		return false, err
	}
	requesters := usualRequesters
	if l.trouble != "0" {
		requesters = usualRequesters * burstPercent / 100
	}
	back, checked := time.Now(), make(chan struct{})
	go l.checkReadiness(h, checked)
	l.connect(h, requesters, burstTime)
	time.Sleep(time.Until(back.Add(recoveryBound)))
	close(checked)
	l.line("%s says that it is ready: %v", h.id, h.isReady())
	l.line("%s", l.askDirectory(h))
	a := send("GET", h.front, hostName, "/acts/1", "", "", 1500*time.Millisecond)
	l.line("attempt %s of a requester that knows the address %s: status %d, %d runs", a.id, h.front, a.status, len(l.runsOf(a.id)))
	after := l.newRequesters("later than recovery_s after it is back", judgedTime)
	for _, text := range []string{"Permanent error", "listener stopped", "listener for other hosts"} {
		for _, line := range h.logLines(text) {
			l.line("log of %s: %s", h.id, line)
		}
	}
	l.line("served: %.3f before the loss of power, %.3f later than recovery_s after the machine is back", before, after)
	if before < 0.25 {
		return false, fmt.Errorf("only %.3f of the requests are served before the loss of power", before)
	}
	return after < 0.25, nil
}

// askDirectory connects to a machine's directory and says what comes back within two seconds.
func (l *lab) askDirectory(h *entryHost) string {
	nc, err := net.DialTimeout("tcp", h.directory, time.Second)
	if err != nil {
		return fmt.Sprintf("no connection to the directory of %s: %v", h.id, err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(nc, "GET /v1/resolve?name=%s&region=gh-mid&zone=%s HTTP/1.1\r\nHost: %s\r\n\r\n", hostName, h.zone, h.directory)
	b := make([]byte, 64)
	n, err := nc.Read(b)
	return fmt.Sprintf("a connection to the directory of %s is opened; what comes back in 2 s: %q, %v", h.id, b[:n], err)
}

// checkReadiness asks a machine once a second whether it is ready, as the platform does, until
// stop is closed.
func (l *lab) checkReadiness(h *entryHost, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			l.line("readiness check of %s: ready %v", h.id, h.isReady())
		}
	}
}

// connect has requesters ask a machine where to connect, connect to it, each send one request,
// and close their connections after a time.
func (l *lab) connect(h *entryHost, requesters int, span time.Duration) {
	var mu sync.Mutex
	statuses := map[string]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for i := range requesters {
		wg.Go(func() {
			time.Sleep(time.Duration(i%1000) * time.Millisecond)
			status := "no connection"
			address := h.front // kept from before, where the directory does not answer
			if got := resolve(h.directory, hostName, h.zone); len(got) > 0 {
				address = got[0]
			}
			nc, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				defer func() { _ = nc.Close() }()
				status = l.ask(nc, end)
			}
			mu.Lock()
			statuses[status]++
			mu.Unlock()
			time.Sleep(time.Until(end))
		})
	}
	wg.Wait()
	l.line("%d requesters have connected to %s and left again within %v; their answers: %v", requesters, h.id, span, statuses)
}

// ask sends a request on a connection and returns the status of its answer.
func (l *lab) ask(nc net.Conn, end time.Time) string {
	_ = nc.SetDeadline(end)
	_, _ = fmt.Fprintf(nc, "GET /acts/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n", hostName, newID())
	b := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(nc, b); err != nil {
		return "no answer"
	}
	return string(b[len("HTTP/1.1 "):])
}

// newRequesters has requesters that know no address ask the directories of up to three machines
// where to connect, and send a request there. It returns the share that is served.
func (l *lab) newRequesters(what string, span time.Duration) (share float64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served, unresolved := 0, 0, 0
	for next, end := time.Now(), time.Now().Add(span); next.Before(end); next = next.Add(100 * time.Millisecond) {
		time.Sleep(time.Until(next))
		wg.Go(func() {
			var addresses []string
			for _, h := range l.hosts {
				if addresses = resolve(h.directory, hostName, h.zone); len(addresses) > 0 {
					break
				}
			}
			status := 0
			if len(addresses) > 0 {
				a := send("GET", addresses[0], hostName, "/acts/1", "", "", 1500*time.Millisecond)
				status = a.status
				l.line("attempt %s to %s: status %d, %d runs", a.id, addresses[0], a.status, len(l.runsOf(a.id)))
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if len(addresses) == 0 {
				unresolved++
			}
			if status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	l.line("%s: %d of %d requests of new requesters served, %d found no directory that answers", what, served, sent, unresolved)
	return float64(served) / float64(max(1, sent))
}

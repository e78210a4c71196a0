package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	deadlyPath   = "/slots/deadly"
	deadlyEvery  = 250 * time.Millisecond
	deadlyTime   = 20 * time.Second
	backAfter    = 4 * time.Second
	stableWindow = 3 * time.Second // stable_window_ms
	// deadlyRetries is how often a deadly request may reach workers later than stableWindow
	// after it has crashed the third.
	deadlyRetries = 3
	// backlog is how many connections the system accepts for a worker that has crashed before
	// it drops the packets that open further ones.
	backlog = 8
)

// ringBounds are those of nkabom-ring, which has neither keys nor quotas.
var ringBounds = bounds{configMs: 2000, drainMs: 2000, graceMs: 6000}

// deadlyWorker is a worker that crashes when it begins to run a request to deadlyPath. Its
// machine falls silent, or with refuses only its process ends.
type deadlyWorker struct {
	*worker
	refuses bool
	onCrash func(*deadlyWorker)

	server  *http.Server
	dark    chan struct{} // closed when the machine has fallen silent
	stopped <-chan struct{}
	crash   sync.Once
}

// listenBacklog listens on a free port with a short backlog.
func listenBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, backlog)
	}
	if err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "worker")
	defer func() { _ = f.Close() }()
	return net.FileListener(f)
}

// silentListener accepts nothing once its machine is silent, and keeps the socket open.
type silentListener struct {
	net.Listener
	w *deadlyWorker
}

func (l silentListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		select {
		case <-l.w.dark:
			<-l.w.stopped // nc, if any, stays open and silent
		default:
			return nc, err
		}
	}
}

func startDeadlyWorker(id, service, zone string, l *lab, refuses bool, onCrash func(*deadlyWorker)) (*deadlyWorker, error) {
	ln, err := listenBacklog()
	if err != nil {
		return nil, err
	}
	w := &deadlyWorker{
		worker: &worker{
			id: id, service: service, zone: zone, address: ln.Addr().String(), slots: 4, work: 100 * time.Millisecond, onRun: l.recordRun,
			born: time.Now().UnixMilli(),
		},
		refuses: refuses, onCrash: onCrash, dark: make(chan struct{}), stopped: l.stopped,
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(silentListener{ln, w}) }()
	return w, nil
}

// ServeHTTP serves a request. On a machine that has fallen silent nothing goes on.
func (w *deadlyWorker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == deadlyPath {
		w.onRun(run{ID: req.Header.Get("X-Attempt-Id"), Worker: w.id, At: time.Now()})
		w.crash.Do(func() {
			if w.refuses {
				go func() { _ = w.server.Close() }()
			} else {
				close(w.dark)
				go w.fillBacklog()
			}
			w.onCrash(w)
		})
		<-w.stopped
		return
	}
	w.worker.ServeHTTP(&silentWriter{rw, w}, req)
}

// silentWriter writes nothing once the machine is silent.
type silentWriter struct {
	http.ResponseWriter
	w *deadlyWorker
}

func (s *silentWriter) Write(b []byte) (int, error) {
	s.wait()
	return s.ResponseWriter.Write(b)
}

func (s *silentWriter) WriteHeader(status int) {
	s.wait()
	s.ResponseWriter.WriteHeader(status)
}

func (s *silentWriter) wait() {
	select {
	case <-s.w.dark:
		<-s.w.stopped
	default:
	}
}

// fillBacklog opens connections that nobody accepts, so that others get no answer.
func (w *deadlyWorker) fillBacklog() {
	for range 2 * backlog {
		nc, err := net.DialTimeout("tcp", w.address, 50*time.Millisecond)
		if err != nil {
			return
		}
		go func() {
			<-w.stopped
			_ = nc.Close()
		}()
	}
}

// deadly has a caller repeat a request, with the same path and without a body, at any host.
// As the disruption, it crashes each worker that begins to run it.
func deadly(l *lab) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	deadlyRuns := l.trouble != "0"
	s.put("op", "config", configOf(7, routeOf("slots", "/slots/", "safe", "booking"), routeOf("acts", "/acts/", "unsafe", "booking"),
		serviceOf("booking"), limits()))
	zones := []string{"gh-mid-a", "gh-mid-b", "gh-mid-c"}
	var mu sync.Mutex
	crashed := map[string]time.Time{} // when workers crashed, by id
	var third time.Time
	var startOne func(id, zone string) error
	startOne = func(id, zone string) error {
		beat := make(chan struct{})
		w, err := startDeadlyWorker(id, "booking", zone, l, l.trouble == "refuse", func(w *deadlyWorker) {
			mu.Lock()
			defer mu.Unlock()
			crashed[w.id] = time.Now()
			l.line("worker %s crashes, the %d. in all", w.id, len(crashed))
			if len(crashed) == 3 {
				third = time.Now()
			}
			close(beat)
			time.AfterFunc(backAfter, func() {
				if err := startOne(w.id+"x", zone); err != nil {
					l.line("worker %s is not back: %v", w.id, err)
				}
			})
			time.AfterFunc(4500*time.Millisecond, func() { s.remove("servers", w.id) }) // three heartbeats of silence
		})
		if err != nil {
			return err
		}
		go w.beat(s, beat)
		return nil
	}
	for i := range 24 {
		if err := startOne(fmt.Sprintf("i-%d", i), zones[i%3]); err != nil {
			return false, err
		}
	}
	for i := range 6 {
		h, err := newEntryHost(fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), zones[i%3], l.program, l.dir, s.address, ringBounds)
		if err != nil {
			return false, err
		}
		l.hosts = append(l.hosts, h)
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	var wg sync.WaitGroup
	end := time.Now().Add(deadlyTime)
	path := deadlyPath
	if !deadlyRuns {
		path = "/slots/harmless"
	}
	var attempts []string
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			address := l.hosts[i%len(l.hosts)].front
			wg.Go(func() {
				a := send("GET", address, hostName, path, "", "", 1500*time.Millisecond)
				l.line("attempt %s, GET %s to %s: status %d, %d runs", a.id, path, address, a.status, len(l.runsOf(a.id)))
				mu.Lock()
				attempts = append(attempts, a.id)
				mu.Unlock()
			})
			time.Sleep(deadlyEvery)
		}
	})
	lost, others := 0, 0
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			address := l.hosts[i%len(l.hosts)].front
			wg.Go(func() {
				a := send("POST", address, hostName, "/acts/1", "", "act", 1500*time.Millisecond)
				l.line("attempt %s, POST /acts/1 to %s: status %d, %d runs", a.id, address, a.status, len(l.runsOf(a.id)))
				mu.Lock()
				defer mu.Unlock()
				others++
				if len(l.runsOf(a.id)) > 0 && a.status != http.StatusOK {
					lost++
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, id := range attempts {
		for _, r := range l.runsOf(id) {
			if !third.IsZero() && r.At.Sub(third) > stableWindow {
				late++
			}
		}
	}
	ended, found, quarantined := map[string]int{}, map[string]int{}, 0
	for _, h := range l.hosts {
		for _, line := range h.logLines(`"msg":"attempt ended"`) {
			var v struct{ ID, Status, Host string }
			if json.Unmarshal([]byte(line), &v) != nil || !slices.Contains(attempts, v.ID) {
				continue
			}
			if v.Host != "" {
				v.Status += " at another host"
			}
			ended[v.Status]++
		}
		for _, line := range h.logLines(`"msg":"upstream after a lost attempt"`) {
			var v struct{ ID, Found string }
			if json.Unmarshal([]byte(line), &v) == nil && slices.Contains(attempts, v.ID) {
				found[v.Found]++
			}
		}
		quarantined += len(h.logLines(`"msg":"quarantine"`))
	}
	l.line("logs of the machines on the request: ends of attempts %v, what was found of their upstreams %v, lines on quarantine %d", ended, found, quarantined)
	l.line("%d workers crashed; the request reached workers %d times later than %v after the third crash, allowed are %d", len(crashed), late, stableWindow, deadlyRetries)
	l.line("%d of %d other requests had begun to run and were not answered by their worker", lost, others)
	return late > deadlyRetries, nil
}

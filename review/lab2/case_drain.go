package main

import (
	"io"
	"regexp"
	"sync"
	"time"
)

var followsMetric = regexp.MustCompile(`(?m)^follows_store 1$`)

// follows reports whether a host says in its metrics that it follows the store.
func (h *host) follows() bool {
	resp, err := probeClient.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return followsMetric.Match(b)
}

// drainCut plays nine hosts, of which three are partitioned from the store while a worker
// leaves: its entry is removed, and it goes on serving for some seconds.
func drainCut(trouble bool) {
	const (
		name  = "ficu95.example"
		count = 9
		drain = 2000 * time.Millisecond
	)
	s := startStore()
	s.put("op", "config", document(7,
		item("routes", "r-1", map[string]any{"host": name, "prefix": "/slot/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 400, "priority": 2, "service": "booking", "max_attempts": 2}),
		serviceItem("booking"), limitsItem()))
	zones := []string{"gh-mid-a", "gh-mid-b", "gh-mid-c"}
	var workers []*worker
	for i, id := range []string{"i-a1", "i-a2", "i-b1", "i-b2", "i-c1", "i-c2"} {
		workers = append(workers, startWorker(id, "booking", zones[i/2], 4, 60*time.Millisecond, s))
	}
	var hosts []*host
	links := map[*host]*proxy{}
	for i := range count {
		p := startProxy(s.address())
		h := newHost(i+1, zones[i%3], p.address(), nkabom())
		hosts = append(hosts, h)
		links[h] = p
		h.start(true)
	}
	waitReady(20*time.Second, hosts...)
	time.Sleep(6 * time.Second)
	var cut, calm []*host
	for _, h := range hosts {
		if h.follows() {
			cut = append(cut, h)
		} else {
			calm = append(calm, h)
		}
	}
	rec.line("%d of %d hosts follow the store", len(cut), count)
	if len(cut) != 3 {
		cannotRun("%d hosts follow the store", len(cut))
	}

	var mu sync.Mutex
	var all []answer
	byHost := map[string]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range calm {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					a := send(h, "GET", name, "/slot/1", "", "", 1200*time.Millisecond)
					mu.Lock()
					all = append(all, a)
					byHost[a.id] = h.id
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, h := range cut {
			links[h].setCut(true)
			rec.line("host %s: partitioned from the store (reset)", h.id)
		}
	}
	time.Sleep(20 * time.Millisecond)
	leaving := workers[0]
	leaving.setState("")
	s.remove("servers", leaving.id)
	gone := time.Now()
	rec.line("worker %s leaves: the store has confirmed the removal of its entry", leaving.id)
	time.Sleep(4500 * time.Millisecond)
	for _, h := range cut {
		links[h].setCut(false)
	}
	close(stop)
	wg.Wait()
	bad, worst := 0, time.Duration(0)
	runsMu.Lock()
	at := map[string]run{}
	for _, r := range runs {
		if r.worker == leaving.id {
			at[r.id] = r
		}
	}
	runsMu.Unlock()
	for _, a := range all {
		if r, ok := at[a.id]; ok && a.sent.After(gone.Add(drain)) {
			bad++
			worst = max(worst, r.at.Sub(gone))
			rec.line("%s, sent to %s %d ms after the confirmation, reached %s", a.id, byHost[a.id], a.sent.Sub(gone).Milliseconds(), leaving.id)
		}
	}
	verdict(bad > 0, "%d requests that were sent to undisturbed hosts later than %v after the confirmation reached the worker that left, the last %d ms after it", bad, drain, worst.Milliseconds())
}

package main

import (
	"io"
	"regexp"
	"strconv"
	"sync"
	"time"
)

var (
	tableAge = regexp.MustCompile(`(?m)^table_age_seconds (\S+)$`)
	follows  = regexp.MustCompile(`(?m)^follows_store (\d)$`)
)

// recordState records how old a host's tables are by its metrics, whether it follows the store,
// and that its link to the store works.
func (h *host) recordState() {
	resp, err := probeClient.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	status := 0
	if r, err := probeClient.Get("http://" + h.storeAddr + "/v1/rows-get?table=op&part="); err == nil {
		status = r.StatusCode
		r.Body.Close()
	}
	rec.line("host %s, undisturbed: %s, %s; a call on its link to the store gets %d", h.id, tableAge.Find(b), follows.Find(b), status)
}

var updatesSent = regexp.MustCompile(`(?m)^relay_updates_sent_total (\d+)$`)

// updatesSent returns how many updates of tables a host has sent to other hosts.
func (h *host) updatesSent() int {
	resp, err := probeClient.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	m := updatesSent.FindSubmatch(b)
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// relaysCut plays 45 hosts, of which those that pass changes of the store on to others are
// partitioned from the store, while a route moves to another service and a worker leaves.
func relaysCut(trouble bool) {
	const (
		name  = "seti95.example"
		count = 45
		apply = 2500 * time.Millisecond
		drain = 2500 * time.Millisecond
		watch = 11 * time.Second
	)
	set := settings{memoryMB: 419, configurationMs: 2500, leavingMs: 2500, graceMs: 6000, probes: 42, repeatSlack: 180}
	s := startStore()
	route := func(n, prefix, service string) map[string]any {
		return item("routes", n, map[string]any{"host": name, "prefix": prefix, "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2})
	}
	config := func(version int, service string) map[string]any {
		return document(version, route("r-1", "/paper/", "papurau"), route("r-2", "/mark/", service), serviceItem("papurau"), serviceItem("marciau"), limitsItem())
	}
	s.put("op", "config", config(7, "papurau"))
	zones := []string{"cymru-south-a", "cymru-south-b", "cymru-south-c"}
	var workers []*worker
	for i := range 12 {
		workers = append(workers, startWorker("i-p"+strconv.Itoa(i), "papurau", zones[i%3], 4, 30*time.Millisecond, s))
		startWorker("i-m"+strconv.Itoa(i), "marciau", zones[i%3], 4, 30*time.Millisecond, s)
	}
	var hosts []*host
	links := map[*host]*proxy{}
	for i := range count {
		p := startProxy(s.address())
		h := newHost(i/3+1, zones[i%3], p.address(), set)
		hosts = append(hosts, h)
		links[h] = p
		h.start(true)
	}
	waitReady(40*time.Second, hosts...)
	time.Sleep(8 * time.Second)
	before := map[*host]int{}
	for _, h := range hosts {
		before[h] = h.updatesSent()
	}
	s.put("op", "config", config(8, "papurau"))
	time.Sleep(2 * time.Second)
	var cut, calm []*host
	for _, h := range hosts {
		if h.updatesSent() > before[h] {
			cut = append(cut, h)
		} else {
			calm = append(calm, h)
		}
	}
	rec.line("%d of %d hosts have passed version 8 on to others", len(cut), count)
	if len(cut) == 0 || len(cut) > 7 {
		cannotRun("%d hosts pass changes on: more than a share of .17 of the machines", len(cut))
	}

	var mu sync.Mutex
	type sent struct {
		answer
		host, path string
	}
	var all []sent
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range calm {
		for _, path := range []string{"/mark/1", "/paper/1"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(250 * time.Millisecond):
					}
					a := send(h, "GET", name, path, "", "", 3*time.Second)
					mu.Lock()
					all = append(all, sent{a, h.id, path})
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, h := range cut {
			links[h].setCut(true)
			rec.line("host %s: partitioned from the store", h.id)
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.put("op", "config", config(12, "marciau"))
	acked := time.Now()
	rec.line("operator: version 12, which moves /mark/ from papurau to marciau, is confirmed")
	leaving := workers[0]
	leaving.drain()
	gone := time.Now()
	rec.line("worker %s reports draining: confirmed", leaving.id)
	time.Sleep(watch - 3*time.Second)
	for _, h := range calm {
		h.recordState()
	}
	time.Sleep(time.Until(acked.Add(watch)))
	for _, h := range cut {
		links[h].setCut(false)
	}
	close(stop)
	wg.Wait()
	for _, h := range hosts {
		rec.logs(h, `"msg":"follows the store itself"`, `"msg":"configuration in force"`)
	}
	runsMu.Lock()
	at := map[string][]run{}
	for _, r := range runs {
		at[r.id] = append(at[r.id], r)
	}
	runsMu.Unlock()
	old, left := 0, 0
	late := time.Duration(0)
	stale := map[string]bool{}
	for _, a := range all {
		for _, r := range at[a.id] {
			if a.path == "/mark/1" && r.service == "papurau" && a.sent.After(acked.Add(apply)) {
				old++
				late = max(late, a.sent.Sub(acked))
				stale[a.host] = true
				rec.line("%s, sent to %s %d ms after the confirmation of version 12, was run by papurau", a.id, a.host, a.sent.Sub(acked).Milliseconds())
			}
			if r.worker == leaving.id && a.sent.After(gone.Add(drain)) {
				left++
				rec.line("%s, sent to %s %d ms after the confirmation, reached %s, which leaves", a.id, a.host, a.sent.Sub(gone).Milliseconds(), leaving.id)
			}
		}
	}
	rec.line("%d requests reached the leaving worker later than %v after the confirmation (DRAIN)", left, drain)
	verdict(old > 0, "%d requests that were sent to %d undisturbed hosts later than %v after the confirmation were run by the old service, the last was sent %d ms after it",
		old, len(stale), apply, late.Milliseconds())
}

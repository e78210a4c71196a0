package main

import (
	"sync"
	"syscall"
	"time"
)

// keyFrozen plays a key that is taken away while one host's machine stands still, and a drill in
// which the store comes back from a copy of the time before.
func keyFrozen(trouble bool) {
	const (
		name   = "ficu95.example"
		revoke = 5 * time.Second
	)
	set := settings{memoryMB: 219, configurationMs: 2500, leavingMs: 2500, revocationMs: 5000, windowMs: 5000, overage: 0.1, slack: 20, graceMs: 6000, probes: 60, repeatSlack: 75}
	s := startStore()
	routes := []map[string]any{
		item("routes", "r-1", map[string]any{"host": name, "prefix": "/act/", "kind": "unsafe", "timeout_ms": 2500, "target_latency_ms": 800, "priority": 1, "service": "acts", "max_attempts": 2}),
		serviceItem("acts"), limitsItem(),
	}
	tenant := func(t string, keys ...string) map[string]any {
		return item("tenants", t, map[string]any{"api_keys": keys, "rate_per_s": 0, "burst": 0})
	}
	before := document(7, append([]map[string]any{tenant("notary", "key-kept"), tenant("clerk", "key-new", "key-taken")}, routes...)...)
	after := document(9, append([]map[string]any{tenant("notary", "key-kept"), tenant("clerk", "key-new")}, routes...)...)
	s.put("op", "config", before)
	zones := []string{"mech-stad", "rupel-dc", "bonheiden-rz"}
	for i, id := range []string{"i-a1", "i-a2", "i-b1", "i-b2", "i-c1", "i-c2"} {
		startWorker(id, "acts", zones[i/2], 6, 60*time.Millisecond, s)
	}
	var hosts []*host
	for i, z := range zones {
		h := newHost(i+1, z, s.address(), set)
		hosts = append(hosts, h)
		h.start(true)
	}
	waitReady(15*time.Second, hosts...)
	time.Sleep(6 * time.Second)

	copied := s.copyContent()
	rec.line("store: the copy is taken")
	if trouble {
		hosts[2].signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	s.put("op", "config", after)
	taken := time.Now()
	rec.line("operator: version 9 without the key \"key-taken\" is confirmed")

	var mu sync.Mutex
	var all []answer
	of := map[string]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, h := range hosts {
		for _, key := range []string{"key-taken", "key-kept"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if i == 2 { // nobody waits at the machine that stands still
					time.Sleep(time.Until(taken.Add(revoke)))
				}
				for {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					a := send(h, "POST", name, "/act/1", key, "x", 2500*time.Millisecond)
					if key == "key-taken" {
						mu.Lock()
						all = append(all, a)
						of[a.id] = h.id
						mu.Unlock()
					}
				}
			}()
		}
	}
	if trouble {
		time.Sleep(time.Until(taken.Add(3500 * time.Millisecond)))
		s.setDown(true)
		rec.line("store: away")
		time.Sleep(700 * time.Millisecond)
		s.restore(copied)
		rec.line("store: back from the copy, era 1")
		back := time.Now()
		time.Sleep(time.Until(taken.Add(4700 * time.Millisecond)))
		hosts[2].signal(syscall.SIGCONT)
		time.Sleep(time.Until(back.Add(1500 * time.Millisecond)))
		s.put("op", "config", after)
		rec.line("operator: version 9 is written again")
	}
	time.Sleep(time.Until(taken.Add(8 * time.Second)))
	close(stop)
	wg.Wait()
	for _, h := range hosts {
		rec.logs(h, `"msg":"configuration in force"`, `"msg":"older configuration ignored"`, `"msg":"store came back from an older copy"`, `"msg":"keys fenced"`, `"msg":"keys trusted again"`)
	}
	bad, running := 0, 0
	for _, a := range all {
		if runsOf(a.id) == 0 || !a.sent.After(taken.Add(revoke)) {
			continue
		}
		bad++
		if of[a.id] != hosts[2].id {
			running++
		}
		rec.line("%s was sent to %s %d ms after the confirmation that took its key away, and has run", a.id, of[a.id], a.sent.Sub(taken).Milliseconds())
	}
	verdict(bad > 0, "%d requests with the key that was taken away ran though sent later than %v after the confirmation, %d of them at hosts that did not stand still", bad, revoke, running)
}

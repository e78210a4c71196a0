package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	applyBound = 2500 * time.Millisecond // config_apply_ms
	calmTime   = 8 * time.Second         // of a machine before a request, at least; stable_window_ms is 3 s
)

// weights changes the config: it splits a route, drops another one and takes a key away. As
// the disruption, the weights of the split are fractions; without it they are whole numbers.
func weights(l *lab) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	services := []object{serviceOf("akte-inzage"), serviceOf("akte-inzage-next"), limits()}
	s.put("op", "config", configOf(7, append(services,
		routeOf("extracts", "/extracts/", "safe", "akte-inzage"), routeOf("old-acts", "/old-acts/", "unsafe", "akte-inzage"),
		tenantOf("notary", 0, 0, keptKey, goneKey))...))
	for i, zone := range []string{"mech-stad", "rupel-dc", "bonheiden-rz"} {
		for _, service := range []string{"akte-inzage", "akte-inzage-next"} {
			w, err := startWorker(fmt.Sprintf("i-%d-%s", i, service), service, zone, 6, 20*time.Millisecond, l.recordRun)
			if err != nil {
				return false, err
			}
			go w.beat(s, l.stopped)
		}
		if _, err := l.addHost(fmt.Sprintf("front-%s-1", zone), zone, s.address, true); err != nil {
			return false, err
		}
	}
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(calmTime)

	first, second := 99.5, 0.5
	if l.trouble == "0" {
		first, second = 99, 1
	}
	split := routeOf("extracts", "/extracts/", "safe", "")
	spec := split["spec"].(object)
	delete(spec, "service")
	spec["traffic_split"] = []object{{"service": "akte-inzage", "weight": first}, {"service": "akte-inzage-next", "weight": second}}
	confirmed := s.put("op", "config", configOf(9, append(services, split, tenantOf("notary", 0, 0, keptKey))...))
	l.line("config 9 is confirmed: weights %v and %v, without the route /old-acts/ and without %s", first, second, goneKey)

	// Each request is one that no config allows from some time on.
	type kind struct {
		path, key string
		bound     time.Duration
		what      string
	}
	kinds := []kind{
		{"/old-acts/1", keptKey, applyBound, "the dropped route"},
		{"/extracts/1", goneKey, revokeBound, "the key that was taken away"},
		{"/extracts/1", keptKey, time.Hour, "what all configs allow"},
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	late := map[string]int{}
	for _, h := range l.hosts {
		for _, k := range kinds {
			wg.Go(func() {
				for end := confirmed.Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
					for _, address := range resolve(h.directory, hostName, h.zone) {
						method := "POST"
						if k.path == "/extracts/1" {
							method = "GET"
						}
						a := send(method, address, hostName, k.path, k.key, "", 1500*time.Millisecond)
						runs := len(l.runsOf(a.id))
						sent := a.sent.Sub(confirmed)
						l.line("attempt %s, %s %s with %s to %s, sent %d ms after the confirmation: status %d, %d runs", a.id, method, k.path, k.key, address,
							sent.Milliseconds(), a.status, runs)
						if runs > 0 && sent > k.bound {
							mu.Lock()
							late[k.what]++
							mu.Unlock()
						}
					}
				}
			})
		}
	}
	wg.Wait()
	for _, k := range kinds[:2] {
		l.line("%d attempts with %s ran that were sent later than %v after the confirmation", late[k.what], k.what, k.bound)
	}
	for _, h := range l.hosts {
		for _, line := range h.logLines("row can't be read") {
			l.line("log of %s: %s", h.id, line)
		}
	}
	return len(late) > 0, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// registryBounds are those of sbmr-gateway-grown.
var registryBounds = bounds{configMs: 2500, drainMs: 2500, revokeMs: 5000, quotaWindowMs: 5000, quotaOverage: 0.1, quotaSlack: 20, graceMs: 6000}

const (
	revokeBound = 5 * time.Second // revoke_ms
	goneKey     = "key-taken-away"
	keptKey     = "key-kept"

	storeAway = 500 * time.Millisecond // in the drill
	// addedAfter and rewrittenAfter count from the return of the store: a machine is added,
	// and the operator has written its newest config again.
	addedAfter     = 1500 * time.Millisecond
	rewrittenAfter = 3 * time.Second
)

// revokedKey takes a key away, and adds a machine more than revoke_ms later. As the
// disruption, the store comes back from a copy some seconds old shortly before that.
func revokedKey(l *lab) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	config := func(version int, keys ...string) object {
		return configOf(version, routeOf("acts", "/acts/", "unsafe", "geboorte-reg"), serviceOf("geboorte-reg"), limits(),
			tenantOf("notary", 0, 0, keys...), tenantOf("hospital", 0, 0, "key-of-hospital"))
	}
	s.put("op", "config", config(7, keptKey, goneKey))
	zones := []string{"mech-stad", "rupel-dc", "bonheiden-rz"}
	add := func(zone string, number int, first bool) error {
		h, err := newEntryHost(fmt.Sprintf("front-%s-%d", zone, number), zone, l.program, l.dir, s.address, registryBounds)
		if err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
		return h.start(first)
	}
	for i, zone := range zones {
		w, err := startWorker(fmt.Sprintf("i-%d", i), "geboorte-reg", zone, 6, 20*time.Millisecond, l.recordRun)
		if err != nil {
			return false, err
		}
		go w.beat(s, l.stopped)
		if err := add(zone, 1, true); err != nil {
			return false, err
		}
	}
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	copied := s.copyContent()
	l.line("the copy of the store that the drill uses is taken")
	time.Sleep(500 * time.Millisecond)
	confirmed := s.put("op", "config", config(9, keptKey))
	l.line("config 9, without %s, is confirmed", goneKey)

	var mu sync.Mutex
	var attempts []answer
	var wg sync.WaitGroup
	end := confirmed.Add(16 * time.Second)
	for i, zone := range zones {
		for _, key := range []string{goneKey, keptKey} {
			wg.Go(func() {
				for directory := l.hosts[i].directory; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					for _, address := range resolve(directory, hostName, zone) {
						a := send("POST", address, hostName, "/acts/"+key, key, "act", 1500*time.Millisecond)
						a.address = address
						l.line("attempt %s with %s to %s, sent %d ms after the confirmation: status %d, %d runs", a.id, key, address,
							a.sent.Sub(confirmed).Milliseconds(), a.status, len(l.runsOf(a.id)))
						if key == goneKey {
							mu.Lock()
							attempts = append(attempts, a)
							mu.Unlock()
						}
					}
				}
			})
		}
	}

	time.Sleep(time.Until(confirmed.Add(6 * time.Second)))
	if l.trouble != "0" {
		s.setDown(true)
		l.line("drill: the store is away")
	}
	time.Sleep(storeAway)
	if l.trouble != "0" {
		s.restore(copied)
		s.setDown(false)
		l.line("drill: the store is back from its copy, which has config 7")
	}
	time.Sleep(addedAfter)
	l.line("a machine is added")
	if err := add("rupel-dc", 2, false); err != nil {
		return false, err
	}
	l.line("its callers' address is %s", l.hosts[len(l.hosts)-1].front)
	time.Sleep(rewrittenAfter - addedAfter)
	if l.trouble != "0" {
		s.put("op", "config", config(9, keptKey))
		l.line("drill: the operator has written config 9 again")
	}
	wg.Wait()
	late := 0
	lateAt, refusedAt := map[string]int{}, map[string]int{} // by address
	for _, a := range attempts {
		if a.sent.Sub(confirmed) > revokeBound && a.status == http.StatusUnauthorized {
			refusedAt[a.address]++
		}
		for _, r := range l.runsOf(a.id) {
			if a.sent.Sub(confirmed) > revokeBound {
				late++
				lateAt[a.address]++
				l.line("attempt %s with %s was sent %d ms after the confirmation and ran at %s for tenant %q", a.id, goneKey,
					a.sent.Sub(confirmed).Milliseconds(), r.Worker, r.Tenant)
			}
		}
	}
	for _, h := range l.hosts {
		l.line("%s, %s, of the attempts with %s sent later than revoke_ms: %d ran, %d got 401", h.id, h.front, goneKey, lateAt[h.front], refusedAt[h.front])
		for _, line := range h.logLines(`"msg":"configuration in force"`) {
			l.line("log of %s: %s", h.id, line)
		}
	}
	l.line("%d of %d attempts with %s ran although they were sent later than revoke_ms after the confirmation", late, len(attempts), goneKey)
	return late > 0, nil
}

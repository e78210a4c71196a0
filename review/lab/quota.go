package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// The tenant is one of whose quota lateHost holds a share, with these names of machines.
	hotTenant = "tenant-12"
	// Its quota and what it sends, in requests a second.
	tenantRate, tenantBurst = 200.0, 10.0
	tenantSends             = 480
	quotaWindow             = 5 * time.Second
	loadTime                = 20 * time.Second

	lateHost, lateHostZone = "front-aug-4", "aug"
	turnedAwayFor          = 9 * time.Second
)

// tenantZones each have three machines and three workers.
var tenantZones = []string{"muc", "nue", "rgb", "aug"}

// holders returns the hosts that say on their metrics page that they hold a share of the
// tenant's quota. It is for the record only.
func (l *lab) holders(tenant string) (held []string) {
	gauge := regexp.MustCompile(`quota_used_ratio\{organisation="` + tenant + `"\}`)
	for _, h := range l.hosts {
		c := &http.Client{Timeout: time.Second}
		resp, err := c.Get("http://" + h.metrics + "/metrics")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if gauge.Match(b) {
			held = append(held, strings.TrimPrefix(h.id, "front-"))
		}
	}
	return held
}

// startTenantFleet starts the store, the workers and twelve machines for the first time.
func (l *lab) startTenantFleet() (s *store, err error) {
	if s, err = startStore(); err != nil {
		return nil, err
	}
	s.put("op", "config", configOf(7, routeOf("acts", "/acts/", "unsafe", "geboorte-reg"), serviceOf("geboorte-reg"), limits(),
		tenantOf(hotTenant, tenantRate, tenantBurst, "key-hot")))
	for i := range 12 {
		zone := tenantZones[i%len(tenantZones)]
		w, err := startWorker(fmt.Sprintf("i-%d", i), "geboorte-reg", zone, 6, 5*time.Millisecond, l.recordRun)
		if err != nil {
			return nil, err
		}
		go w.beat(s, l.stopped)
		if _, err := l.addHost(fmt.Sprintf("front-%s-%d", zone, 1+i/len(tenantZones)), zone, s.address, true); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addHost starts a machine with a new id.
func (l *lab) addHost(id, zone, storeAddress string, first bool) (*entryHost, error) {
	h, err := newEntryHost(id, zone, l.program, l.dir, storeAddress, registryBounds)
	if err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	return h, h.start(first)
}

// quotaAtFirstStart starts thirteen machines for the first time. As the disruption, the store
// turns one of them away until turnedAwayFor after its start.
func quotaAtFirstStart(l *lab) (broken bool, err error) {
	s, err := l.startTenantFleet()
	if err != nil {
		return false, err
	}
	until := time.Now().Add(turnedAwayFor)
	address, err := s.listen(func() bool { return l.trouble != "0" && time.Now().Before(until) })
	if err != nil {
		return false, err
	}
	if l.trouble != "0" {
		l.line("the store turns %s away for %v", lateHost, turnedAwayFor)
	}
	if _, err := l.addHost(lateHost, lateHostZone, address, true); err != nil {
		return false, err
	}
	l.line("13 machines are started for the first time")
	if err := waitReady(l.hosts, 25*time.Second); err != nil {
		return false, err
	}
	l.line("13 machines are ready")
	time.Sleep(5 * time.Second)
	l.line("holders of shares of the quota: %v", l.holders(hotTenant))
	l.line("the tenant sends %d requests a second for %v", tenantSends, loadTime)
	return l.judgeQuota(l.hotLoad()), nil
}

// quota adds a machine, which is killed and started again some seconds later, and has a
// tenant send more than its quota.
func quota(l *lab) (broken bool, err error) {
	s, err := l.startTenantFleet()
	if err != nil {
		return false, err
	}
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	l.line("12 machines are ready; holders of shares of the quota: %v", l.holders(hotTenant))

	h, err := l.addHost(lateHost, lateHostZone, s.address, false)
	if err != nil {
		return false, err
	}
	l.line("%s is added", h.id)
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if l.trouble != "0" {
		h.kill()
		l.line("%s is killed", h.id)
		time.Sleep(time.Second)
		if err := h.start(false); err != nil {
			return false, err
		}
		l.line("%s is started again", h.id)
		if err := waitReady(l.hosts, 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	l.line("holders of shares of the quota: %v", l.holders(hotTenant))
	l.line("the tenant sends %d requests a second for %v", tenantSends, loadTime)
	sent := l.hotLoad()
	l.line("holders of shares of the quota: %v", l.holders(hotTenant))
	return l.judgeQuota(sent), nil
}

// hotLoad sends the tenant's requests, from each zone alike, to addresses that a directory of
// the zone names.
func (l *lab) hotLoad() (sent []answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for _, zone := range tenantZones {
		var directories []string
		for _, h := range l.hosts {
			if h.zone == zone {
				directories = append(directories, h.directory)
			}
		}
		wg.Go(func() {
			var addresses []string
			var asked time.Time
			interval := time.Second * time.Duration(len(tenantZones)) / tenantSends
			next := time.Now()
			for end := next.Add(loadTime); next.Before(end); next = next.Add(interval) {
				time.Sleep(time.Until(next))
				if time.Since(asked) > 1500*time.Millisecond {
					asked = time.Now()
					for range 3 {
						if got := resolve(directories[rand.IntN(len(directories))], hostName, zone); len(got) > 0 {
							addresses = got
							break
						}
					}
				}
				if len(addresses) == 0 {
					continue
				}
				address := addresses[rand.IntN(len(addresses))]
				wg.Go(func() {
					a := send("POST", address, hostName, "/acts/1", "key-hot", "act", 1500*time.Millisecond)
					l.line("attempt %s to %s, sent at %.3f s: status %d, %d runs", a.id, address, a.sent.Sub(l.start).Seconds(), a.status, len(l.runsOf(a.id)))
					mu.Lock()
					defer mu.Unlock()
					sent = append(sent, a)
					statuses[a.status]++
				})
			}
		})
	}
	wg.Wait()
	l.line("%d requests sent; answers by status: %v", len(sent), statuses)
	return sent
}

// judgeQuota looks for a window in which more requests were sent and ran than QUOTA allows.
func (l *lab) judgeQuota(sent []answer) (broken bool) {
	type both struct{ sent, ran time.Time }
	var list []both
	for _, a := range sent {
		for _, r := range l.runsOf(a.id) {
			list = append(list, both{a.sent, r.At})
		}
	}
	slices.SortFunc(list, func(a, b both) int { return a.sent.Compare(b.sent) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+registryBounds.quotaOverage) + registryBounds.quotaSlack
	most, over := 0, 0
	for i, first := range list {
		n := 0
		for _, x := range list[i:] {
			if x.sent.Sub(first.sent) >= quotaWindow {
				break
			}
			if x.ran.Sub(first.sent) < quotaWindow {
				n++
			}
		}
		if float64(n) > allowed {
			over++
			if n > most {
				l.line("window from %.3f s: %d requests were sent and ran in %v; allowed are %.0f", first.sent.Sub(l.start).Seconds(), n, quotaWindow, allowed)
			}
		}
		most = max(most, n)
	}
	l.line("%d requests ran; at most %d in %v, allowed are %.0f; %d windows are over", len(list), most, quotaWindow, allowed, over)
	return over > 0
}

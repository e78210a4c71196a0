package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopping"] = playStopping }

// playStopping plays two services whose callers ask for more than the upstreams can do, as long as
// the case lasts. One host after another gets SIGTERM and is started again. It reports whether
// connections ended without an answer, later than the slack, to requests that no upstream got.
func playStopping(f *fleet) (broken bool) {
	const (
		hosts     = 3
		upstreams = 40 // of each service
		perSecond = 312
		callers   = 240
		deadline  = 12 * time.Second
		timeout   = 6 * time.Second // of the route
		grace     = 6 * time.Second
		lossSlack = 200 * time.Millisecond
		stops     = 10
		// lateShare is the share of its time budget from which a request does not count.
		lateShare = 0.7
		stopEvery = 7500 * time.Millisecond
	)
	services := []string{"survey-archive", "survey-archive-2"}
	var routes []route
	for _, service := range services {
		routes = append(routes, route{
			name: "browse-" + service, prefix: "/" + service + "/", kind: "safe", service: service, timeoutMs: int(timeout.Milliseconds()), targetMs: 2000,
			priority: 2, maxAttempts: 2,
		})
	}
	f.publish(1, services, routes)
	for i := range upstreams {
		for _, service := range services {
			f.startUpstream(service, zones[i%len(zones)], 3, 720*time.Millisecond)
		}
	}
	f.startHosts(hosts)
	time.Sleep(4 * time.Second) // all hosts are in touch
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		statuses  = map[int]int{}
		cut       int // of these, requests that have used less than lateShare of their time
		cutLate   int // the others
		stoppedAt = map[*host]time.Time{}
	)
	books := make([]*addressBook, callers)
	for i := range books {
		books[i] = &addressBook{fleet: f, keeps: 1}
		if i%3 == 0 {
			books[i].keeps = 3
		}
	}
	send := func() {
		book := books[rand.IntN(len(books))]
		h := book.pick()
		if h == nil {
			return
		}
		c, err := connect(h)
		if err != nil {
			book.fail(h)
			f.recordf("no connection to %s: %v", h.id, err)
			return
		}
		defer func() { _ = c.nc.Close() }()
		id, sentAt := newID(), time.Now()
		f.recordf("request %s sent to host %s", id, h.id)
		_, _ = c.nc.Write([]byte(get(routes[rand.IntN(len(routes))].prefix+"1", id, deadline)))
		a, err := c.read(sentAt.Add(deadline))
		took := time.Since(sentAt)
		mu.Lock()
		defer mu.Unlock()
		at := stoppedAt[h]
		switch {
		case err == nil:
			statuses[a.status]++
			f.recordf("request %s gets %d after %d ms", id, a.status, took.Milliseconds())
		case isTimeout(err):
			f.recordf("request %s: %v", id, errTimeBudget)
		default:
			reached := len(f.arrivalsOf(id))
			f.recordf("request %s: connection ended without an answer after %d ms: %v; reached %d upstreams; sent %d ms after the SIGTERM of its host",
				id, took.Milliseconds(), err, reached, sentAt.Sub(at).Milliseconds())
			if reached > 0 || took <= lossSlack || time.Since(at) >= grace+time.Second {
				return
			}
			if took < shareOf(deadline, lateShare) {
				cut++
			} else {
				cutLate++
			}
		}
	}
	stopLoad := make(chan struct{})
	wg.Go(func() {
		tick := time.NewTicker(time.Second / perSecond)
		defer tick.Stop()
		for {
			select {
			case <-stopLoad:
				return
			case <-tick.C:
				wg.Go(send)
			}
		}
	})
	time.Sleep(8 * time.Second)
	for i := range stops {
		h := f.hosts[i%hosts]
		if f.trouble {
			mu.Lock()
			stoppedAt[h] = time.Now()
			mu.Unlock()
			f.recordf("host %s gets SIGTERM", h.id)
			_ = h.command.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(stopEvery)
		if f.trouble {
			select {
			case <-h.done:
			default:
				f.cannotRun(fmt.Errorf("host %s still runs %v after SIGTERM", h.id, stopEvery))
			}
			f.recordStop(h)
			f.restart(h)
		}
	}
	close(stopLoad)
	wg.Wait()
	summary := fmt.Sprintf("answers by status %v; connections that ended without an answer to a request that no upstream got: %d, and %d after seven tenths of its time",
		statuses, cut, cutLate)
	fmt.Println(summary)
	f.recordf("%s", summary)
	if statuses[200] < 100 {
		f.cannotRun(fmt.Errorf("only %d requests were served", statuses[200]))
	}
	return cut > 0
}

// shareOf returns a share of a span.
func shareOf(span time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(span))
}

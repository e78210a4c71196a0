package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["routes"] = playRoutes }

// playRoutes plays an operator who takes the routes of a deployment out of service one after the
// other. It reports whether requests run on a route that was dropped longer ago than the bound.
func playRoutes(f *fleet) (broken bool) {
	const (
		hosts       = 5
		configApply = 2 * time.Second
		deadline    = 2500 * time.Millisecond
		playFor     = 8 * time.Second // after each version
	)
	routes := []route{
		{name: "cover-lookup", prefix: "/cover/", kind: "safe", service: "record-service", timeoutMs: 1200, targetMs: 300, priority: 2, maxAttempts: 2},
		{name: "works-order", prefix: "/order/", kind: "unsafe", service: "record-service", timeoutMs: 1500, targetMs: 400, priority: 1, maxAttempts: 2},
	}
	services := []string{"record-service"}
	f.publish(1, services, routes)
	for i := range 6 {
		f.startUpstream("record-service", zones[i%len(zones)], 3, 120*time.Millisecond)
	}
	f.startHosts(hosts)
	time.Sleep(4 * time.Second) // all hosts are in touch
	var (
		mu        sync.Mutex
		droppedAt = map[string]time.Time{} // by route, when the version without it was confirmed
		served    = map[string]int{}
		late      = map[string]int{} // runs of requests that were sent later than the bound
	)
	end := time.Now().Add(3 * playFor)
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for _, r := range routes {
			wg.Go(func() {
				for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					c, err := connect(h)
					if err != nil {
						f.cannotRun(err)
					}
					id, method := newID(), http.MethodGet
					if r.kind == "unsafe" {
						method = http.MethodPost
					}
					sentAt := time.Now()
					f.recordf("request %s on route %s sent to host %s", id, r.name, h.id)
					fmt.Fprintf(c.nc, "%s %s1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
						method, r.prefix, hostHeader, id, deadline.Milliseconds())
					a, err := c.read(sentAt.Add(deadline))
					_ = c.nc.Close()
					f.recordf("request %s gets %d %v", id, a.status, err)
					mu.Lock()
					if a.status == http.StatusOK {
						served[r.name]++
					}
					if at := droppedAt[r.name]; !at.IsZero() && sentAt.Sub(at) > configApply && len(f.arrivalsOf(id)) > 0 {
						late[r.name]++
						f.recordf("request %s ran on route %s, which was dropped %d ms before it was sent", id, r.name, sentAt.Sub(at).Milliseconds())
					}
					mu.Unlock()
				}
			})
		}
	}
	for i := range routes {
		time.Sleep(playFor)
		if !f.trouble {
			continue
		}
		f.publish(2+i, services, routes[i+1:])
		mu.Lock()
		droppedAt[routes[i].name] = time.Now()
		mu.Unlock()
	}
	wg.Wait()
	summary := fmt.Sprintf("served by route %v; ran on a route that had been dropped for longer than the bound %v", served, late)
	fmt.Println(summary)
	f.recordf("%s", summary)
	if len(served) < len(routes) {
		f.cannotRun(fmt.Errorf("served only %v", served))
	}
	return len(late) > 0
}

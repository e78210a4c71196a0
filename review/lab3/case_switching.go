package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["switching"] = playSwitching }

// playSwitching plays upstreams that spoil some of their answers: in place of the answer they send
// the head of an interim response with status 101, which no request has asked for. Callers send
// three requests at once on a connection, and read the answers in order. It reports whether a
// caller got a success that belongs to another request.
func playSwitching(f *fleet) (broken bool) {
	const (
		callers     = 24
		playFor     = 20 * time.Second
		spoilShare  = 0.02 // of the answers
		spoilers    = 0.5  // share of the upstreams
		pipelined   = 3
		deadline    = 1200 * time.Millisecond
		perUpstream = 4
	)
	f.publish(1, []string{"booking"}, []route{{name: "slot-check", prefix: "/slot/", kind: "safe", service: "booking", timeoutMs: 1200, targetMs: 400, priority: 2, maxAttempts: 2}})
	for i := range 12 {
		u := f.startUpstream("booking", zones[i%len(zones)], perUpstream, 60*time.Millisecond)
		if f.trouble && float64(i) < spoilers*12 {
			u.spoil = func(req *http.Request) []byte {
				if rand.Float64() >= spoilShare {
					return nil
				}
				return []byte("HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: " + req.Header.Get("X-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}
	f.startHosts(4)
	time.Sleep(time.Second)
	var mu sync.Mutex
	foreign, served, unanswered, interim := 0, 0, 0, 0
	var wg sync.WaitGroup
	end := time.Now().Add(playFor)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := connect(f.hosts[rand.IntN(len(f.hosts))])
				if err != nil {
					f.cannotRun(err)
				}
				for round := 0; round < 10 && time.Now().Before(end); round++ {
					ids := make([]string, pipelined)
					requests := ""
					for i := range ids {
						ids[i] = newID()
						requests += get("/slot/1", ids[i], deadline)
						f.recordf("request %s sent, number %d on its connection %s", ids[i], round*pipelined+i+1, c.nc.LocalAddr())
					}
					_, _ = c.nc.Write([]byte(requests))
					failed := false
					for _, id := range ids {
						a, err := c.read(time.Now().Add(deadline))
						mu.Lock()
						interim += len(a.interim)
						switch {
						case err != nil:
							unanswered++
							failed = true
							f.recordf("request %s gets no answer: %v, interim %v", id, err, a.interim)
						case a.status == http.StatusOK && (a.id != id || a.body != answerTo(id)):
							foreign++
							f.recordf("request %s gets the answer to %s: %d, interim %v", id, a.id, a.status, a.interim)
						case a.status == http.StatusOK:
							served++
							f.recordf("request %s gets its answer", id)
						default:
							f.recordf("request %s gets %d, interim %v", id, a.status, a.interim)
						}
						mu.Unlock()
						if failed || a.closes {
							failed = true
							break
						}
					}
					if failed {
						break
					}
				}
				_ = c.nc.Close()
			}
		})
	}
	wg.Wait()
	summary := fmt.Sprintf("served %d, successes that belong to another request %d, without an answer %d, interim responses %d", served, foreign, unanswered, interim)
	fmt.Println(summary)
	f.recordf("%s", summary)
	if served < 1000 {
		f.cannotRun(fmt.Errorf("only %d requests were served", served))
	}
	return foreign > 0
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	pipelineDepth  = 3
	pipelineBudget = 12 * time.Second
	// A request of the route works for workTime; its timeout_ms is longTimeout, and
	// shortTimeout in the config that changes it.
	workTime     = 720 * time.Millisecond
	longTimeout  = 2500 * time.Millisecond
	shortTimeout = 600 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
)

// pipelined has requesters send three safe requests at once on a connection. As the disruption
// a config makes the route's timeout_ms shorter than the work.
func pipelined(l *lab) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	config := func(version int, timeout time.Duration) object {
		r := routeOf("units", "/units/", "safe", "tenant-desk")
		r["spec"].(object)["timeout_ms"], r["spec"].(object)["target_latency_ms"] = timeout.Milliseconds(), 2000
		return configOf(version, r, serviceOf("tenant-desk"), limits())
	}
	s.put("op", "config", config(7, longTimeout))
	zones := []string{"muc", "nue", "rgb"}
	for i := range 9 {
		w, err := startWorker(fmt.Sprintf("i-%d", i), "tenant-desk", zones[i%3], 6, workTime, l.recordRun)
		if err != nil {
			return false, err
		}
		go w.beat(s, l.stopped)
	}
	for _, zone := range zones {
		if _, err := l.addHost("front-"+zone+"-1", zone, s.address, true); err != nil {
			return false, err
		}
	}
	if err := waitReady(l.hosts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	timeout := longTimeout
	if l.trouble != "0" {
		timeout = shortTimeout
		s.put("op", "config", config(9, timeout))
		l.line("config 9 is confirmed: timeout_ms of the route is %d", timeout.Milliseconds())
	}
	time.Sleep(8 * time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	over, late := 0, 0
	for _, h := range l.hosts {
		for range 3 {
			wg.Go(func() {
				for range 4 {
					for _, a := range l.pipeline(h.front) {
						l.line("attempt %s, %d on its connection to %s: status %d after %d ms", a.id, a.number, h.front, a.status, a.took.Milliseconds())
						mu.Lock()
						if a.took > timeout {
							over++
						}
						if a.took > timeout+answerSlack {
							late++
						}
						mu.Unlock()
					}
				}
			})
		}
	}
	wg.Wait()
	l.line("%d requests had no answer at timeout_ms, %d of these none half a second later", over, late)
	return late >= 8 && 2*late > over, nil
}

// pipelinedAnswer is the answer to one of several requests that were sent at once.
type pipelinedAnswer struct {
	id     string
	number int
	status int // 0 without an answer
	took   time.Duration
}

// pipeline sends pipelineDepth requests at once on a new connection, and reads their answers.
func (l *lab) pipeline(address string) (answers []pipelinedAnswer) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.line("no connection to %s: %v", address, err)
		return nil
	}
	defer func() { _ = nc.Close() }()
	var text string
	for i := range pipelineDepth {
		answers = append(answers, pipelinedAnswer{id: newID(), number: i + 1, took: pipelineBudget})
		text += fmt.Sprintf("GET /units/%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
			i, hostName, answers[i].id, pipelineBudget.Milliseconds())
	}
	sent := time.Now()
	_ = nc.SetDeadline(sent.Add(pipelineBudget))
	if _, err := io.WriteString(nc, text); err != nil {
		return answers
	}
	r := bufio.NewReader(nc)
	for i := range answers {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			l.line("no answer from %s: %v", address, err)
			return answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers[i].status, answers[i].took = resp.StatusCode, time.Since(sent)
	}
	return answers
}

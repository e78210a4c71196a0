package service

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// faultyUpstream is an upstream that answers with the request's marker, but sometimes
// late, twice, truncated, not at all, or with the answer to another request.
type faultyUpstream struct {
	ln       net.Listener
	mu       sync.Mutex
	rand     *rand.Rand
	previous string // the previous answer, to be sent for a later request
}

func startFaultyUpstream(seed uint64) *faultyUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	u := &faultyUpstream{ln: ln, rand: rand.New(rand.NewPCG(seed, 1))}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	Reset(func() { ln.Close() })
	return u
}

func (u *faultyUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		marker := string(req.Header.Peek("X-Marker"))
		id := string(req.Header.Peek("Siskin-Request-Id"))
		complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(marker), marker)
		u.mu.Lock()
		fault, previous := u.rand.IntN(20), u.previous
		u.previous = complete
		u.mu.Unlock()
		if !u.answer(c, fault, complete, previous) {
			return
		}
	}
}

func (u *faultyUpstream) answer(c net.Conn, fault int, complete, previous string) bool {
	switch fault {
	case 0: // truncated
		_, _ = c.Write([]byte(complete[:len(complete)-3]))
		return false
	case 1: // another request's answer
		_, _ = c.Write([]byte(previous))
		return true
	case 2: // twice
		_, _ = c.Write([]byte(complete + complete))
		return true
	case 3: // late, so that it is hedged and cancelled
		time.Sleep(40 * time.Millisecond)
	case 4: // no answer
		return false
	}
	_, err := c.Write([]byte(complete))
	return err == nil
}

// noHosts implements Hosts for a fleet of one host.
type noHosts struct{}

func (noHosts) Forward(context.Context, string, *call.Call) (call.Answer, bool) {
	return call.Answer{}, true
}
func (noHosts) SendDigest(string, string, route.Digest) {}

func newRunner(upstreams int) *Runner {
	c := clock.NewSystem()
	set := &upstream.Set{Clock: c}
	tbl := &table.Table{Version: 1, Services: []table.Service{{Name: "rent"}}}
	cfg := route.Config{Self: "muc-1", HedgePercent: 20}
	for i := range upstreams {
		u := startFaultyUpstream(uint64(i))
		name := fmt.Sprintf("u%d", i)
		tbl.Services[0].Upstreams = append(tbl.Services[0].Upstreams, table.Upstream{Service: "rent", Name: name, Address: u.ln.Addr().String(), Slots: 40})
		cfg.Upstreams = append(cfg.Upstreams, route.Upstream{Name: name, Weight: 100, Share: 40})
	}
	set.Configure(tbl)
	r := &Runner{
		Service: "rent", HostID: "muc-1", Clock: c, Upstreams: set, Hosts: noHosts{}, MaxBodyBytes: 1 << 20,
		Shard:    &route.Shard{Rand: rand.New(rand.NewPCG(1, 2))},
		MayUse:   func(string, string) bool { return true },
		MayProbe: func(string, string) bool { return false },
	}
	r.Configure(cfg)
	return r
}

func TestOwnAnswer(t *testing.T) {
	Convey("thousands of concurrent requests to faulty upstreams get their own complete answer or none", t, func() {
		const callers, each = 60, 50
		r := newRunner(4)
		var answered, notAnswered, wrong atomic.Int64
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Go(func() {
				for n := range each {
					marker := strings.Repeat(fmt.Sprintf("org%d-%d;", caller, n), 1+n)
					a := r.Do(&call.Call{
						Service: "rent", Organisation: fmt.Sprintf("org%d", caller), Method: "GET", URI: "/statement",
						Header: [][2]string{{"X-Marker", marker}}, Deadline: r.Clock.Now() + 3*clock.Second, Idempotent: n%2 == 0,
					})
					switch {
					case a.Outcome != idempotency.Answered:
						notAnswered.Add(1)
					case string(a.Body) == marker:
						answered.Add(1)
					default:
						wrong.Add(1)
					}
				}
			})
		}
		wg.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		So(answered.Load()+notAnswered.Load(), ShouldEqual, callers*each)
		So(answered.Load(), ShouldBeGreaterThan, callers) // the check above compared real answers
	})
}

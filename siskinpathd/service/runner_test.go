package service

import (
	"context"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// heldUpstreams hold each attempt until the test releases it.
type heldUpstreams struct {
	started chan struct{}
	release chan route.Status
}

func (h *heldUpstreams) Send(_ context.Context, _, _ string, a *upstream.Attempt) (*upstream.Reply, route.Result, error) {
	if !a.MaySend() {
		return nil, route.Result{Status: route.NotSent}, nil
	}
	h.started <- struct{}{}
	status := <-h.release
	if status == route.Succeeded {
		return &upstream.Reply{Status: 200, Body: []byte("done")}, route.Result{Status: status}, nil
	}
	return nil, route.Result{Status: status}, nil
}

func (h *heldUpstreams) Probe(context.Context, string, string) route.ProbeResult {
	return route.ProbeResult{}
}

func newRunnerWith(h *heldUpstreams) *Runner {
	r := &Runner{
		Service: "rent", HostID: "muc-1", Clock: clock.NewSystem(), Upstreams: h, Hosts: noHosts{}, MaxBodyBytes: 1024,
		Shard:    &route.Shard{Rand: rand.New(rand.NewPCG(1, 2))},
		MayUse:   func(string, string) bool { return true },
		MayProbe: func(string, string) bool { return false },
	}
	r.Configure(route.Config{Self: "muc-1", Upstreams: []route.Upstream{{Name: "u1", Weight: 100, Share: 4}}})
	return r
}

func newHeldUpstreams() *heldUpstreams {
	return &heldUpstreams{started: make(chan struct{}, 8), release: make(chan route.Status, 8)}
}

func startCall(r *Runner, c *call.Call) chan call.Answer {
	c.Service = "rent"
	c.Deadline = r.Clock.Now() + clock.Minute
	got := make(chan call.Answer, 1)
	go func() { got <- r.Do(c) }()
	return got
}

func TestRunner(t *testing.T) {
	Convey("an attempt to an upstream that was removed counts as revoked until it ends, and is not cancelled", t, func() {
		h := newHeldUpstreams()
		r := newRunnerWith(h)
		got := startCall(r, &call.Call{})
		<-h.started
		So(r.RevokedAttempts(), ShouldEqual, 0)
		r.Configure(route.Config{Self: "muc-1"})
		So(r.RevokedAttempts(), ShouldEqual, 1)
		h.release <- route.Succeeded
		So((<-got).Outcome, ShouldEqual, idempotency.Answered)
		So(r.RevokedAttempts(), ShouldEqual, 0)
	})
	Convey("an attempt without a right to the upstream is stopped before its first byte, and did not run", t, func() {
		h := newHeldUpstreams()
		r := newRunnerWith(h)
		r.MayUse = func(string, string) bool { return false }
		c := &call.Call{}
		c.Service, c.Deadline = "rent", r.Clock.Now()+50*clock.Millisecond
		So(r.Do(c).Outcome, ShouldEqual, idempotency.NotRun)
		So(h.started, ShouldBeEmpty)
	})
	Convey("OnNotRun is called for an attempt that did not run, and for no other", t, func() {
		for _, want := range []struct {
			status  route.Status
			outcome idempotency.Outcome
			notRun  int
		}{{route.Refused, idempotency.NotRun, 1}, {route.ConnectionLost, idempotency.OutcomeUnknown, 0}} {
			h := newHeldUpstreams()
			r := newRunnerWith(h)
			notRun := 0
			c := &call.Call{Key: "k", MaySend: func() bool { return true }, OnNotRun: func() { notRun++ }}
			for range 8 {
				h.release <- want.status
			}
			So((<-startCall(r, c)).Outcome, ShouldEqual, want.outcome)
			So(min(notRun, 1), ShouldEqual, want.notRun)
		}
	})
	Convey("an idempotent request is withdrawn when its caller disconnects", t, func() {
		h := newHeldUpstreams()
		r := newRunnerWith(h)
		gone := make(chan struct{})
		got := startCall(r, &call.Call{Idempotent: true, CallerGone: gone})
		<-h.started
		close(gone)
		So((<-got).Reason, ShouldEqual, call.ReasonCallerGone)
		h.release <- route.Cancelled
	})
}

// unresponsiveHosts lose every call forwarded to one host: it either runs into the
// time limit or comes back at once with an unknown outcome.
type unresponsiveHosts struct {
	lost string
	wait bool
}

func (l *unresponsiveHosts) Forward(ctx context.Context, host string, _ *call.Call) (call.Answer, bool) {
	if host != l.lost {
		return call.Answer{Reply: idempotency.Reply{Outcome: idempotency.Answered, Status: 200, Body: []byte(host)}}, false
	}
	if l.wait {
		<-ctx.Done()
	}
	return call.Unknown(call.ReasonOutcomeUnknown), false
}

func (l *unresponsiveHosts) SendDigest(string, string, route.Digest) {}

func TestForwardWithoutAnswer(t *testing.T) {
	for name, wait := range map[string]bool{"whose link is cut": false, "that is frozen": true} {
		Convey("an idempotent request forwarded to a host "+name+" is answered by another", t, func() {
			for seed := range uint64(3) { // either owner may be first
				h := &unresponsiveHosts{lost: "gh-2", wait: wait}
				r := newRunnerWith(newHeldUpstreams())
				r.Hosts = h
				r.Shard = &route.Shard{Rand: rand.New(rand.NewPCG(seed, 2))}
				r.Configure(route.Config{Self: "gh-1", Owners: []string{"gh-2", "gh-3"}})
				c := &call.Call{Service: "rent", Idempotent: true, Deadline: r.Clock.Now() + 2*clock.Second}
				a := r.Do(c)
				So(a.Outcome, ShouldEqual, idempotency.Answered)
				So(string(a.Body), ShouldEqual, "gh-3")
			}
		})
	}
	Convey("a request with an idempotency key is not sent again", t, func() {
		r := newRunnerWith(newHeldUpstreams())
		r.Hosts = &unresponsiveHosts{lost: "gh-2"}
		r.Configure(route.Config{Self: "gh-1", Owners: []string{"gh-2"}})
		So((<-startCall(r, &call.Call{Key: "k"})).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
}

package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"siskinpath/core/clock"
)

// transcript records each event with the actions that it led to.
type transcript struct {
	s   *Shard
	now clock.Millis
	b   strings.Builder
}

func (g *transcript) event(text string, actions []Action) {
	fmt.Fprintf(&g.b, "%6d %s\n", g.now, text)
	for _, a := range actions {
		fmt.Fprintf(&g.b, "       -> %s\n", describe(a))
	}
}

func describe(a Action) string {
	switch a.Kind {
	case Send, Cancel, Finish:
		return fmt.Sprintf("%s request=%d attempt=%d upstream=%s", kindName(a.Kind), a.Request, a.Attempt, a.Upstream)
	case Forward:
		return fmt.Sprintf("forward request=%d host=%s", a.Request, a.Host)
	case Refuse, Unknown:
		return fmt.Sprintf("%s request=%d reason=%s retry_after=%d", kindName(a.Kind), a.Request, a.Reason, a.RetryAfter)
	case SendDigest:
		return fmt.Sprintf("send_digest free=%d queued=%d slots=%d", a.Digest.Free, a.Digest.Queued, a.Digest.Slots)
	default:
		return fmt.Sprintf("probe upstream=%s", a.Upstream)
	}
}

func (g *transcript) arrive(id RequestID, idempotent bool, within clock.Millis) {
	g.event(fmt.Sprintf("arrive request=%d idempotent=%t within=%d", id, idempotent, within),
		g.s.Submit(g.now, Request{ID: id, Idempotent: idempotent, Deadline: g.now + within}))
}

func (g *transcript) finished(id AttemptID, status Status) {
	names := []string{"succeeded", "errored", "refused", "not_sent", "lost", "cancelled"}
	g.event(fmt.Sprintf("finished attempt=%d status=%s", id, names[status]),
		g.s.AttemptEnded(g.now, Result{Attempt: id, Status: status}))
}

func (g *transcript) digest(d Digest) {
	g.event(fmt.Sprintf("digest host=%s free=%d queued=%d slots=%d", d.Host, d.Free, d.Queued, d.Slots), g.s.ReceiveDigest(g.now, d))
}

// advance moves time forward and calls Tick whenever it is due.
func (g *transcript) advance(span clock.Millis) {
	until := g.now + span
	for next := g.s.NextTick(); next != 0 && next <= until; next = g.s.NextTick() {
		g.now = next
		g.event("tick", g.s.Tick(g.now))
	}
	g.now = until
}

// TestGolden compares the transcript of a whole session with the golden file. The
// session has a start, a queue, forwards to owners with free slots, a hedge,
// retries, an ejection and the return from it, a change of the configuration,
// refusals and a caller that disconnects.
func TestGolden(t *testing.T) {
	g := &transcript{s: testShard(7), now: 1000}
	cfg := testConfig(3, 2, "h1", "h2")
	g.event("configure 3 upstreams of 2 slots, owners h1 h2", g.s.Configure(g.now, cfg))
	first := RequestID(1)
	for range 10 {
		for range 3 {
			g.arrive(first, true, 500)
			first++
		}
		g.advance(20)
		for id := g.s.lastAttempt - 2; id <= g.s.lastAttempt; id++ {
			g.finished(id, Succeeded)
		}
	}
	recordLoad(g)
	recordHedge(g)
	recordFailures(g)
	cfg.Upstreams[0].Leaving = true
	g.event("configure: a is leaving", g.s.Configure(g.now, cfg))
	g.arrive(200, false, 500)
	g.event("withdraw request=200", g.s.Withdraw(g.now, 200))
	g.finished(g.s.lastAttempt, Cancelled)
	g.arrive(201, true, 0)
	goldie.New(t).Assert(t, "session", []byte(g.b.String()))
}

// recordLoad submits more requests than there are slots, so that some are queued
// or forwarded, and answers them.
func recordLoad(g *transcript) {
	for id := RequestID(100); id < 108; id++ {
		g.arrive(id, id%2 == 0, 500)
	}
	running := g.s.lastAttempt
	g.digest(Digest{Host: "h1", Free: 1, Slots: 6})
	g.arrive(108, true, 500)
	g.event("forwarded request=106 host=h1 not_run=true",
		g.s.ForwardEnded(g.now, ForwardResult{Request: 106, Host: "h1", NotRun: true, RetryAfter: 40}))
	g.finished(running, Succeeded)
	g.finished(running-1, Succeeded)
	g.finished(running-2, Succeeded)
	g.advance(80)
	for id := running - 5; id <= g.s.lastAttempt; id++ {
		if g.s.attempts[id] != nil {
			g.finished(id, Succeeded)
		}
	}
}

// recordHedge keeps one request in flight until it is hedged.
func recordHedge(g *transcript) {
	g.arrive(120, true, 500)
	g.advance(60)
	second := g.s.lastAttempt
	g.finished(second, Succeeded)
	g.finished(second-1, Cancelled)
}

// recordFailures makes upstream a fail until it is ejected, probes it, and then
// loses connections at all upstreams.
func recordFailures(g *transcript) {
	for id := RequestID(150); g.s.counters.Ejected == 0 && id < 190; id += 5 {
		for i := range RequestID(5) {
			g.arrive(id+i, (id+i)%3 != 0, 500)
		}
		g.finishAllAt("a", NotSent)
		g.finishAllAt("b", Succeeded)
		g.finishAllAt("c", Succeeded)
	}
	g.advance(1100)
	g.event("probed upstream=a ok=true", g.s.ProbeEnded(g.now, ProbeResult{Upstream: "a", OK: true, Latency: 6}))
	g.arrive(190, false, 500)
	g.arrive(191, true, 500)
	for _, name := range []string{"a", "b", "c"} {
		g.finishAllAt(name, ConnectionLost)
	}
	for _, name := range []string{"a", "b", "c"} {
		g.finishAllAt(name, Succeeded)
	}
}

// finishAllAt ends the attempts in flight at an upstream.
func (g *transcript) finishAllAt(name string, status Status) {
	last := g.s.lastAttempt
	for id := AttemptID(1); id <= last; id++ {
		if a := g.s.attempts[id]; a != nil && a.upstream.Name == name {
			g.finished(id, status)
		}
	}
}

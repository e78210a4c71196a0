package route

import (
	"fmt"
	"slices"

	"siskinpath/core/clock"
)

// harness drives a Shard as the daemon does and checks every action it returns.
type harness struct {
	s            *Shard
	now          clock.Millis
	cfg          Config
	requests     map[RequestID]*requestRecord
	attempts     map[AttemptID]*attemptRecord
	order        []AttemptID // in flight, in order of start
	forwards     []RequestID // not yet ended, in order
	probes       []string    // not yet ended, in order
	starts       map[string][]clock.Millis
	lastID       RequestID
	arrived      int
	retries      int
	hedges       int
	ticks        int
	fail         func(format string, args ...any)
	corruptOnEnd func(*requestRecord) // falsifies the record of a request when an attempt ends; for TestProveChecksFind only
}

type requestRecord struct {
	Request
	final      int
	withdrawn  bool
	forwarded  bool
	running    int
	mayHaveRun bool
	failedAt   []string
	sent       int
}

type attemptRecord struct {
	request  RequestID
	upstream string
	status   Status
	ended    bool
}

func newHarness(seed uint64, fail func(format string, args ...any)) *harness {
	return &harness{
		s:        testShard(seed),
		now:      1000,
		requests: make(map[RequestID]*requestRecord),
		attempts: make(map[AttemptID]*attemptRecord),
		starts:   make(map[string][]clock.Millis),
		fail:     fail,
	}
}

func (h *harness) configure(cfg Config) {
	h.cfg = cfg
	h.apply(h.s.Configure(h.now, cfg))
}

func (h *harness) arrive(req Request) {
	h.lastID++
	req.ID = h.lastID
	h.arrived++
	h.requests[req.ID] = &requestRecord{Request: req}
	h.apply(h.s.Submit(h.now, req))
}

func (h *harness) withdraw(id RequestID) {
	r := h.requests[id]
	if r == nil || r.final > 0 || r.withdrawn {
		return
	}
	r.withdrawn = true
	h.forwards = slices.DeleteFunc(h.forwards, func(f RequestID) bool { return f == id })
	h.apply(h.s.Withdraw(h.now, id))
}

// finish ends the attempt at index i of order.
func (h *harness) finish(i int, status Status, load *LoadReport) {
	id := h.order[i]
	h.order = slices.Delete(h.order, i, i+1)
	a := h.attempts[id]
	a.ended = true
	a.status = status
	r := h.requests[a.request]
	r.running--
	switch status {
	case Refused, NotSent:
		r.failedAt = append(r.failedAt, a.upstream)
	case Errored, ConnectionLost, Cancelled:
		r.failedAt = append(r.failedAt, a.upstream)
		r.mayHaveRun = true
	}
	if h.corruptOnEnd != nil {
		h.corruptOnEnd(r)
	}
	h.apply(h.s.AttemptEnded(h.now, Result{Attempt: id, Status: status, Load: load}))
}

func (h *harness) endForward(i int, notRun bool, d *Digest) {
	id := h.forwards[i]
	h.forwards = slices.Delete(h.forwards, i, i+1)
	r := h.requests[id]
	r.forwarded = false
	if !notRun {
		r.final++
	}
	h.apply(h.s.ForwardEnded(h.now, ForwardResult{Request: id, Host: "h1", NotRun: notRun, Digest: d}))
}

func (h *harness) digest(d Digest) { h.apply(h.s.ReceiveDigest(h.now, d)) }

func (h *harness) endProbe(ok bool, load *LoadReport) {
	name := h.probes[0]
	h.probes = h.probes[1:]
	h.apply(h.s.ProbeEnded(h.now, ProbeResult{Upstream: name, OK: ok, Latency: 6, Load: load}))
}

// advance moves time to until and calls Tick whenever it is due.
func (h *harness) advance(until clock.Millis) {
	for {
		next := h.s.NextTick()
		if next == 0 || next > until {
			break
		}
		h.now = max(h.now, next)
		h.apply(h.s.Tick(h.now))
		h.ticks++
		if again := h.s.NextTick(); again != 0 && again <= h.now {
			h.fail("after the tick at %d the next tick is due at %d, which is not later", h.now, again)
			return
		}
	}
	h.now = until
}

// drain ends all attempts and forwards and checks that every request ended exactly
// once or was withdrawn.
func (h *harness) drain() {
	for range 10_000 {
		switch {
		case len(h.order) > 0:
			h.finish(0, Succeeded, nil)
		case len(h.forwards) > 0:
			h.endForward(0, false, nil)
		default:
			h.advance(h.now + clock.Minute)
		}
		if len(h.s.requests) == 0 && len(h.order) == 0 {
			break
		}
	}
	for id, r := range h.requests {
		if r.final != 1 && !r.withdrawn {
			h.fail("request %d ended %d times", id, r.final)
		}
	}
	st := h.s.State()
	if st.Requests != 0 || st.InFlight != 0 || st.Queued != 0 {
		h.fail("shard not empty at the end: %d requests, %d in flight, %d queued", st.Requests, st.InFlight, st.Queued)
	}
}

func (h *harness) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		h.check(a)
	}
	h.checkBudgets()
}

func (h *harness) check(a Action) {
	r := h.requests[a.Request]
	switch a.Kind {
	case SendDigest:
		return
	case Probe:
		h.checkProbe(a)
		return
	case Cancel:
		if at := h.attempts[a.Attempt]; at == nil || at.ended {
			h.fail("cancelled attempt %d is not in flight", a.Attempt)
		}
		return
	}
	if r == nil || r.final > 0 || r.withdrawn || r.forwarded {
		h.fail("action %s for request %d, which ended or was forwarded", kindName(a.Kind), a.Request)
		return
	}
	switch a.Kind {
	case Send:
		h.checkSend(a, r)
	case Forward:
		h.checkForward(a, r)
	case Finish:
		at := h.attempts[a.Attempt]
		if !at.ended || at.request != a.Request || (at.status != Succeeded && at.status != Errored) {
			h.fail("request %d finished by attempt %d, which has no answer for it", a.Request, a.Attempt)
		}
		r.final++
	case Refuse:
		if r.mayHaveRun || r.running > 0 {
			h.fail("request %d refused as not run, but it may have run", a.Request)
		}
		if a.RetryAfter <= 0 || a.Reason == "" {
			h.fail("refusal of request %d lacks a retry delay or a reason", a.Request)
		}
		r.final++
	case Unknown:
		if !r.mayHaveRun && r.running == 0 {
			h.fail("request %d ended unknown, but it did not run", a.Request)
		}
		r.final++
	}
}

func (h *harness) checkSend(a Action, r *requestRecord) {
	u := h.upstream(a.Upstream)
	if u == nil || u.Leaving || u.Weight == 0 {
		h.fail("request %d sent to %s, which accepts no requests", a.Request, a.Upstream)
		return
	}
	if n := h.inFlight(a.Upstream); n >= u.Share {
		h.fail("request sent to %s, which has %d in flight and a share of %d", a.Upstream, n, u.Share)
	}
	h.checkRate(u)
	if !r.Idempotent && (r.mayHaveRun || r.running > 0) {
		h.fail("request %d is not idempotent, may have run and was sent again", a.Request)
	}
	if slices.Contains(r.failedAt, a.Upstream) && h.hasUntriedUpstream(r) {
		h.fail("request %d sent to %s again, where it failed", a.Request, a.Upstream)
	}
	switch {
	case r.running > 0:
		h.hedges++
	case r.sent > 0:
		h.retries++
	}
	r.sent++
	r.running++
	h.attempts[a.Attempt] = &attemptRecord{request: a.Request, upstream: a.Upstream}
	h.order = append(h.order, a.Attempt)
}

func (h *harness) checkForward(a Action, r *requestRecord) {
	if r.Hops >= maxHops {
		h.fail("request %d forwarded after %d hops", a.Request, r.Hops)
	}
	if !slices.Contains(h.cfg.Owners, a.Host) {
		h.fail("request %d forwarded to %s, which is not an owner", a.Request, a.Host)
	}
	if r.running > 0 || (r.mayHaveRun && !r.Idempotent) {
		h.fail("request %d forwarded though it may have run", a.Request)
	}
	r.forwarded = true
	h.forwards = append(h.forwards, a.Request)
}

func (h *harness) checkProbe(a Action) {
	if u := h.upstream(a.Upstream); u == nil || !u.ProbeAllowed || u.Leaving {
		h.fail("probe of %s, which this host may not probe", a.Upstream)
	}
	h.probes = append(h.probes, a.Upstream)
}

func (h *harness) checkRate(u *Upstream) {
	recent := slices.DeleteFunc(h.starts[u.Name], func(at clock.Millis) bool { return at <= h.now-clock.Second })
	if u.RatePerSecond > 0 && len(recent) >= u.RatePerSecond {
		h.fail("%s got %d requests within a second, its rate limit is %d", u.Name, len(recent)+1, u.RatePerSecond)
	}
	h.starts[u.Name] = append(recent, h.now)
}

func (h *harness) checkBudgets() {
	if most := retryBurst + retryRatio*float64(h.arrived); float64(h.retries) > most {
		h.fail("%d retries, the budget is %.1f", h.retries, most)
	}
	if most := hedgeBurst + 0.1*float64(h.arrived); float64(h.hedges) > most {
		h.fail("%d hedges, the budget is %.1f", h.hedges, most)
	}
}

func (h *harness) upstream(name string) *Upstream {
	for i := range h.cfg.Upstreams {
		if h.cfg.Upstreams[i].Name == name {
			return &h.cfg.Upstreams[i]
		}
	}
	return nil
}

func (h *harness) inFlight(name string) int {
	n := 0
	for _, id := range h.order {
		if h.attempts[id].upstream == name {
			n++
		}
	}
	return n
}

// hasUntriedUpstream reports whether a usable upstream exists at which r has not
// failed.
func (h *harness) hasUntriedUpstream(r *requestRecord) bool {
	for _, u := range h.s.State().Upstreams {
		c := h.upstream(u.Name)
		if c == nil || c.Leaving || c.Weight == 0 || c.Share == 0 || u.Ejected {
			continue
		}
		if !slices.Contains(r.failedAt, u.Name) {
			return true
		}
	}
	return false
}

func kindName(k ActionKind) string {
	names := []string{"send", "cancel", "forward", "finish", "refuse", "unknown", "send_digest", "probe"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprint(int(k))
}

// upstreamState returns the shard's state of an upstream.
func (h *harness) upstreamState(name string) UpstreamState {
	for _, u := range h.s.State().Upstreams {
		if u.Name == name {
			return u
		}
	}
	return UpstreamState{}
}

// serve submits n requests together, answers them all, and counts attempts by
// upstream. The failing upstream answers at once, with errors.
func (h *harness) serve(n int, failing string) map[string]int {
	counts := make(map[string]int)
	for range n {
		h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
		h.finishAt(failing, Errored, counts)
	}
	h.advance(h.now + 20)
	for len(h.order) > 0 {
		h.finishAt(failing, Errored, counts)
		if len(h.order) > 0 {
			counts[h.attempts[h.order[0]].upstream]++
			h.finish(0, Succeeded, nil)
		}
	}
	return counts
}

// finishAt ends all attempts in flight at an upstream.
func (h *harness) finishAt(name string, status Status, counts map[string]int) {
	for i := 0; i < len(h.order); {
		if h.attempts[h.order[i]].upstream != name {
			i++
			continue
		}
		counts[name]++
		h.finish(i, status, nil)
		i = 0
	}
}

// serveMany calls serve several times and adds up the counts.
func (h *harness) serveMany(times, n int, failing string) map[string]int {
	total := make(map[string]int)
	for range times {
		for name, k := range h.serve(n, failing) {
			total[name] += k
		}
	}
	return total
}

// finishAllExcept ends cancelled attempts, and answers the others except those at
// one upstream.
func (h *harness) finishAllExcept(name string) {
	for i := 0; i < len(h.order); {
		a := h.attempts[h.order[i]]
		switch {
		case h.requests[a.request].final > 0:
			h.finish(i, Cancelled, nil)
			i = 0
		case a.upstream != name:
			h.finish(i, Succeeded, nil)
			i = 0
		default:
			i++
		}
	}
}

package route

import (
	"fmt"
	"slices"

	"siskinpath/core/clock"
)

// harness drives a Shard as a daemon would and checks every action it asks for.
type harness struct {
	s            *Shard
	now          clock.Millis
	cfg          Config
	requests     map[RequestID]*requestRecord
	attempts     map[AttemptID]*attemptRecord
	order        []AttemptID // running, in order of start
	forwards     []RequestID // not yet ended, in order
	probes       []string    // not yet ended, in order
	starts       map[string][]clock.Millis
	lastID       RequestID
	arrived      int
	retries      int
	hedges       int
	ticks        int
	fail         func(format string, args ...any)
	corruptOnEnd func(*requestRecord) // spoils what is known of a request when an attempt ends; nil but in one test
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

func (w *harness) configure(cfg Config) {
	w.cfg = cfg
	w.apply(w.s.Configure(w.now, cfg))
}

func (w *harness) arrive(req Request) {
	w.lastID++
	req.ID = w.lastID
	w.arrived++
	w.requests[req.ID] = &requestRecord{Request: req}
	w.apply(w.s.Submit(w.now, req))
}

func (w *harness) withdraw(id RequestID) {
	r := w.requests[id]
	if r == nil || r.final > 0 || r.withdrawn {
		return
	}
	r.withdrawn = true
	w.forwards = slices.DeleteFunc(w.forwards, func(f RequestID) bool { return f == id })
	w.apply(w.s.Withdraw(w.now, id))
}

// finish ends the attempt at place i of those running.
func (w *harness) finish(i int, status Status, load *LoadReport) {
	id := w.order[i]
	w.order = slices.Delete(w.order, i, i+1)
	a := w.attempts[id]
	a.ended = true
	a.status = status
	r := w.requests[a.request]
	r.running--
	switch status {
	case Refused, NotSent:
		r.failedAt = append(r.failedAt, a.upstream)
	case Errored, Lost, Cancelled:
		r.failedAt = append(r.failedAt, a.upstream)
		r.mayHaveRun = true
	}
	if w.corruptOnEnd != nil {
		w.corruptOnEnd(r)
	}
	w.apply(w.s.AttemptEnded(w.now, Result{Attempt: id, Status: status, Load: load}))
}

func (w *harness) endForward(i int, notRun bool, d *Digest) {
	id := w.forwards[i]
	w.forwards = slices.Delete(w.forwards, i, i+1)
	r := w.requests[id]
	r.forwarded = false
	if !notRun {
		r.final++
	}
	w.apply(w.s.ForwardEnded(w.now, ForwardResult{Request: id, Host: "h1", NotRun: notRun, Digest: d}))
}

func (w *harness) digest(d Digest) { w.apply(w.s.ReceiveDigest(w.now, d)) }

func (w *harness) endProbe(ok bool, load *LoadReport) {
	name := w.probes[0]
	w.probes = w.probes[1:]
	w.apply(w.s.ProbeEnded(w.now, ProbeResult{Upstream: name, OK: ok, Latency: 6, Load: load}))
}

// advance moves time to until, calling Tick whenever it is wanted.
func (w *harness) advance(until clock.Millis) {
	for {
		next := w.s.NextTick()
		if next == 0 || next > until {
			break
		}
		w.now = max(w.now, next)
		w.apply(w.s.Tick(w.now))
		w.ticks++
		if again := w.s.NextTick(); again != 0 && again <= w.now {
			w.fail("tick at %d leaves the next one due at %d", w.now, again)
			return
		}
	}
	w.now = until
}

// settle ends all that is open and checks that every request had its end.
func (w *harness) drain() {
	for range 10_000 {
		switch {
		case len(w.order) > 0:
			w.finish(0, Succeeded, nil)
		case len(w.forwards) > 0:
			w.endForward(0, false, nil)
		default:
			w.advance(w.now + clock.Minute)
		}
		if len(w.s.requests) == 0 && len(w.order) == 0 {
			break
		}
	}
	for id, r := range w.requests {
		if r.final != 1 && !r.withdrawn {
			w.fail("request %d ended %d times", id, r.final)
		}
	}
	st := w.s.State()
	if st.Requests != 0 || st.InFlight != 0 || st.Queued != 0 {
		w.fail("left over: %d requests, %d in flight, %d queued", st.Requests, st.InFlight, st.Queued)
	}
}

func (w *harness) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		w.check(a)
	}
	w.checkBudgets()
}

func (w *harness) check(a Action) {
	r := w.requests[a.Request]
	switch a.Kind {
	case SendDigest:
		return
	case Probe:
		w.checkProbe(a)
		return
	case Cancel:
		if at := w.attempts[a.Attempt]; at == nil || at.ended {
			w.fail("cancelled attempt %d is not in flight", a.Attempt)
		}
		return
	}
	if r == nil || r.final > 0 || r.withdrawn || r.forwarded {
		w.fail("%s for request %d, which is not here any more", kindName(a.Kind), a.Request)
		return
	}
	switch a.Kind {
	case Send:
		w.checkSend(a, r)
	case Forward:
		w.checkForward(a, r)
	case Finish:
		at := w.attempts[a.Attempt]
		if !at.ended || at.request != a.Request || (at.status != Succeeded && at.status != Errored) {
			w.fail("request %d finished by attempt %d, which has no answer for it", a.Request, a.Attempt)
		}
		r.final++
	case Refuse:
		if r.mayHaveRun || r.running > 0 {
			w.fail("request %d refused as not run, but it may have run", a.Request)
		}
		if a.RetryAfter <= 0 || a.Reason == "" {
			w.fail("refusal of %d says neither when to come back nor why", a.Request)
		}
		r.final++
	case Unknown:
		if !r.mayHaveRun && r.running == 0 {
			w.fail("request %d is unknown, but it did not run", a.Request)
		}
		r.final++
	}
}

func (w *harness) checkSend(a Action, r *requestRecord) {
	u := w.upstream(a.Upstream)
	if u == nil || u.Leaving || u.Weight == 0 {
		w.fail("request %d sent to %s, which takes no work", a.Request, a.Upstream)
		return
	}
	if n := w.inFlight(a.Upstream); n >= u.Share {
		w.fail("%s has %d in flight, its share is %d", a.Upstream, n, u.Share)
	}
	w.checkRate(u)
	if !r.Idempotent && (r.mayHaveRun || r.running > 0) {
		w.fail("request %d must run once and was sent again", a.Request)
	}
	if slices.Contains(r.failedAt, a.Upstream) && w.hasUntriedUpstream(r) {
		w.fail("request %d sent to %s again, where it failed", a.Request, a.Upstream)
	}
	switch {
	case r.running > 0:
		w.hedges++
	case r.sent > 0:
		w.retries++
	}
	r.sent++
	r.running++
	w.attempts[a.Attempt] = &attemptRecord{request: a.Request, upstream: a.Upstream}
	w.order = append(w.order, a.Attempt)
}

func (w *harness) checkForward(a Action, r *requestRecord) {
	if r.Hops >= maxHops {
		w.fail("request %d forwarded after %d hops", a.Request, r.Hops)
	}
	if !slices.Contains(w.cfg.Owners, a.Host) {
		w.fail("request %d forwarded to %s, which owns nothing", a.Request, a.Host)
	}
	if r.running > 0 || (r.mayHaveRun && !r.Idempotent) {
		w.fail("request %d forwarded though it may have run", a.Request)
	}
	r.forwarded = true
	w.forwards = append(w.forwards, a.Request)
}

func (w *harness) checkProbe(a Action) {
	if u := w.upstream(a.Upstream); u == nil || !u.ProbeAllowed || u.Leaving {
		w.fail("probe of %s, which this host may not probe", a.Upstream)
	}
	w.probes = append(w.probes, a.Upstream)
}

func (w *harness) checkRate(u *Upstream) {
	recent := slices.DeleteFunc(w.starts[u.Name], func(at clock.Millis) bool { return at <= w.now-clock.Second })
	if u.RatePerSecond > 0 && len(recent) >= u.RatePerSecond {
		w.fail("%s started %d within a second, its rate is %d", u.Name, len(recent)+1, u.RatePerSecond)
	}
	w.starts[u.Name] = append(recent, w.now)
}

func (w *harness) checkBudgets() {
	if most := retryBurst + retryRatio*float64(w.arrived); float64(w.retries) > most {
		w.fail("%d retries, the budget is %.1f", w.retries, most)
	}
	if most := hedgeBurst + 0.1*float64(w.arrived); float64(w.hedges) > most {
		w.fail("%d hedges, the budget is %.1f", w.hedges, most)
	}
}

func (w *harness) upstream(name string) *Upstream {
	for i := range w.cfg.Upstreams {
		if w.cfg.Upstreams[i].Name == name {
			return &w.cfg.Upstreams[i]
		}
	}
	return nil
}

func (w *harness) inFlight(name string) int {
	n := 0
	for _, id := range w.order {
		if w.attempts[id].upstream == name {
			n++
		}
	}
	return n
}

// other tells whether there is an upstream in work where r has not failed.
func (w *harness) hasUntriedUpstream(r *requestRecord) bool {
	for _, u := range w.s.State().Upstreams {
		c := w.upstream(u.Name)
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

// upstreamState returns what the shard shows of an upstream.
func (w *harness) upstreamState(name string) UpstreamState {
	for _, u := range w.s.State().Upstreams {
		if u.Name == name {
			return u
		}
	}
	return UpstreamState{}
}

// serve sends n requests together, answers them all, and counts attempts by
// upstream. A failing upstream answers at once, with errors.
func (w *harness) serve(n int, failing string) map[string]int {
	counts := make(map[string]int)
	for range n {
		w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
		w.finishAt(failing, Errored, counts)
	}
	w.advance(w.now + 20)
	for len(w.order) > 0 {
		w.finishAt(failing, Errored, counts)
		if len(w.order) > 0 {
			counts[w.attempts[w.order[0]].upstream]++
			w.finish(0, Succeeded, nil)
		}
	}
	return counts
}

// endAt ends all that is in flight at an upstream.
func (w *harness) finishAt(name string, status Status, counts map[string]int) {
	for i := 0; i < len(w.order); {
		if w.attempts[w.order[i]].upstream != name {
			i++
			continue
		}
		counts[name]++
		w.finish(i, status, nil)
		i = 0
	}
}

// serveMany calls serve several times.
func (w *harness) serveMany(times, n int, failing string) map[string]int {
	total := make(map[string]int)
	for range times {
		for name, k := range w.serve(n, failing) {
			total[name] += k
		}
	}
	return total
}

// endAllBut ends what was cancelled, and answers the rest but for one upstream.
func (w *harness) finishAllExcept(name string) {
	for i := 0; i < len(w.order); {
		a := w.attempts[w.order[i]]
		switch {
		case w.requests[a.request].final > 0:
			w.finish(i, Cancelled, nil)
			i = 0
		case a.upstream != name:
			w.finish(i, Succeeded, nil)
			i = 0
		default:
			i++
		}
	}
}

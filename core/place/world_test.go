package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// world plays a fleet of Placers against upstreams in virtual time. Upstreams
// have slots and a short queue, are slow by turns, and slow down when they are
// nearly full. Messages take a while.
type world struct {
	rnd       *rand.Rand
	now       clock.Millis
	events    events
	sequence  int
	hosts     []*worldHost
	upstreams []*worldUpstream
	requests  map[int]*worldRequest
	got       outcomes
	probes    int
}

// outcomes are what callers got, by priority.
type outcomes struct {
	asked, inTime, late, refused, failed [3]int
	sends                                int
}

// share returns the part of the requests of a priority answered in time.
func (o outcomes) share(priority int) float64 {
	return float64(o.inTime[priority]) / float64(max(1, o.asked[priority]))
}

// total returns the part of all requests answered in time.
func (o outcomes) total() float64 {
	in, asked := 0, 0
	for p := range o.asked {
		in += o.inTime[p]
		asked += o.asked[p]
	}
	return float64(in) / float64(max(1, asked))
}

func (o outcomes) String() string {
	return fmt.Sprintf("asked %v in time %v late %v refused %v failed %v sends %d", o.asked, o.inTime, o.late, o.refused, o.failed, o.sends)
}

type worldHost struct {
	placer *Placer
	wakeAt clock.Millis
}

type worldUpstream struct {
	id       string
	slots    int
	running  int
	queue    []*worldRun
	slowdown float64
	down     bool    // takes no connection
	silent   bool    // answers nothing
	failing  float64 // share of the requests that it answers with an error at once
}

type worldRequest struct {
	id       int
	in       Request
	work     float64
	settled  bool
	runs     int // at all upstreams
	offered  int // runs since it was offered last
	refused  bool
	broken   string // the promise that was broken, if one was
	retries  int
	host     int
	firstAsk clock.Millis
}

// worldRun is an attempt at an upstream.
type worldRun struct {
	request   *worldRequest
	attempt   route.AttemptID
	host      int
	upstream  *worldUpstream
	cancelled bool
	left      float64 // ms of work at slowdown 1
}

type event struct {
	at       clock.Millis
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	worldLink    = 1 * clock.Millisecond // one way between host and upstream
	worldQueue   = 8                     // requests that wait at an upstream before it refuses
	worldSpell   = 300 * clock.Millisecond
	worldSlack   = 19 // second sends that all hosts together may save up beyond one each
	worldSlow    = 4.0
	worldSlowOne = 0.25 // share of the time that an upstream is slow
	worldKnee    = 0.8
	worldKneeBy  = 1.7
	worldStep    = 5 * clock.Millisecond // how finely work is played
)

// newWorld makes a fleet.
func newWorld(seed uint64, hosts, upstreams, slots int, tuning Tuning) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 7)), now: clock.Hour, requests: map[int]*worldRequest{}}
	var list []Upstream
	for i := range upstreams {
		u := &worldUpstream{id: fmt.Sprintf("u%02d", i), slots: slots, slowdown: 1}
		w.upstreams = append(w.upstreams, u)
		list = append(list, Upstream{ID: u.id, AvailabilityZone: "a", Slots: slots})
		w.spell(u)
	}
	for h := range hosts {
		p := &Placer{Service: "s", Tuning: tuning, Rand: rand.New(rand.NewPCG(seed, uint64(h)))}
		w.hosts = append(w.hosts, &worldHost{placer: p})
		w.carryOut(h, p.Configure(w.now, Config{
			AvailabilityZone: "a", Upstreams: list, ProbesPerSecond: 50 / float64(hosts), RepeatRatio: 0.18,
			RepeatBurst: 1 + worldSlack/float64(hosts),
		}))
	}
	return w
}

func (w *world) after(d clock.Millis, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + d, sequence: w.sequence, do: do})
}

// run plays until span has passed.
func (w *world) run(span clock.Millis) {
	end := w.now + span
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// spell draws anew whether an upstream is slow.
func (w *world) spell(u *worldUpstream) {
	u.slowdown = 1
	if w.rnd.Float64() < worldSlowOne {
		u.slowdown = worldSlow
	}
	w.after(clock.Millis(w.rnd.ExpFloat64()*float64(worldSpell))+1, func() { w.spell(u) })
}

func (u *worldUpstream) speed() float64 {
	s := u.slowdown
	if float64(u.running) > worldKnee*float64(u.slots) {
		s *= worldKneeBy
	}
	return s
}

// load offers requests of a kind at a rate until the world's end.
func (w *world) load(perSecond float64, priority int, target, deadline clock.Millis, work float64, idempotent bool) (stop func()) {
	stopped := false
	var next func()
	next = func() {
		if stopped {
			return
		}
		w.request(priority, target, deadline, work*(0.7+0.6*w.rnd.Float64()), idempotent)
		w.after(clock.Millis(w.rnd.ExpFloat64()*1000/perSecond)+1, next)
	}
	next()
	return func() { stopped = true }
}

func (w *world) request(priority int, target, deadline clock.Millis, work float64, idempotent bool) *worldRequest {
	id := len(w.requests) + 1
	r := &worldRequest{id: id, work: work, firstAsk: w.now, in: Request{
		ID: route.RequestID(id), Route: fmt.Sprint("r", priority), Priority: priority, Target: target,
		GiveUp: w.now + deadline, Idempotent: idempotent, MaxAttempts: 2,
	}}
	w.requests[id] = r
	w.got.asked[priority]++
	w.offer(r)
	return r
}

func (w *world) offer(r *worldRequest) {
	r.offered, r.refused = 0, false
	r.host = w.rnd.IntN(len(w.hosts))
	r.in.Arrived = w.now
	w.carryOut(r.host, w.hosts[r.host].placer.Offer(w.now, r.in))
}

func (w *world) carryOut(h int, actions []Action) {
	host := w.hosts[h]
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			w.probes++
			w.probe(h, a.Upstream)
		case route.Send:
			w.got.sends++
			w.send(h, a)
		case route.Cancel:
			w.cancel(h, a.Attempt)
		case route.Finish, route.Refuse, route.Unknown:
			w.settle(a)
		}
	}
	next := host.placer.Next()
	if next == 0 || next == host.wakeAt {
		return
	}
	host.wakeAt = next
	w.after(max(0, next-w.now), func() {
		if host.wakeAt == next {
			host.wakeAt = 0
			w.carryOut(h, host.placer.Tick(w.now))
		}
	})
}

func (w *world) upstream(id string) *worldUpstream {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (w *world) probe(h int, id string) {
	u := w.upstream(id)
	w.after(worldLink, func() {
		res := route.ProbeResult{Upstream: id, OK: !u.down, Load: u.report()}
		if u.down {
			res.Load = nil
		}
		delay := worldLink + 2
		if u.silent {
			delay, res = 300, route.ProbeResult{Upstream: id}
		}
		w.after(delay, func() { w.carryOut(h, w.hosts[h].placer.Measured(w.now, res)) })
	})
}

func (u *worldUpstream) report() *route.LoadReport {
	return &route.LoadReport{InFlight: u.running, Queued: len(u.queue), Slots: u.slots, Slowdown: u.slowdown}
}

var worldRuns = map[*world]map[string]*worldRun{}

func (w *world) send(h int, a Action) {
	u := w.upstream(a.Upstream)
	run := &worldRun{request: w.requests[int(a.Request)], attempt: a.Attempt, host: h, upstream: u}
	run.left = run.request.work
	if worldRuns[w] == nil {
		worldRuns[w] = map[string]*worldRun{}
	}
	worldRuns[w][fmt.Sprint(h, a.Attempt)] = run
	w.after(worldLink, func() { w.arrive(run) })
}

func (w *world) arrive(run *worldRun) {
	u := run.upstream
	switch {
	case u.down:
		w.end(run, route.NotSent)
	case u.silent:
		return
	case w.rnd.Float64() < u.failing:
		run.request.ran()
		w.end(run, route.Errored)
	case u.running < u.slots:
		w.begin(run)
	case len(u.queue) < worldQueue:
		u.queue = append(u.queue, run)
	default:
		w.end(run, route.Refused)
	}
}

func (w *world) begin(run *worldRun) {
	run.request.ran()
	run.upstream.running++
	w.advance(run)
}

// advance plays a bit of work.
func (w *world) advance(run *worldRun) {
	u := run.upstream
	if run.cancelled || run.left <= 0 {
		u.running--
		if !run.cancelled {
			w.end(run, route.Succeeded)
		}
		for len(u.queue) > 0 && u.running < u.slots {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if !next.cancelled {
				w.begin(next)
			}
		}
		return
	}
	step := min(float64(worldStep), run.left*u.speed())
	run.left -= step / u.speed()
	if run.left < 0.01 {
		run.left = 0
	}
	w.after(clock.Millis(step)+1-clock.Millis(min(1, step/float64(worldStep))), func() { w.advance(run) })
}

func (w *world) end(run *worldRun, status route.Status) {
	var load *route.LoadReport
	if status != route.NotSent {
		load = run.upstream.report()
	}
	w.after(worldLink, func() {
		w.carryOut(run.host, w.hosts[run.host].placer.Ended(w.now, route.Result{Attempt: run.attempt, Status: status, Load: load}))
	})
}

func (w *world) cancel(h int, id route.AttemptID) {
	run := worldRuns[w][fmt.Sprint(h, id)]
	w.after(worldLink, func() { run.cancelled = true })
	w.after(1, func() {
		w.carryOut(h, w.hosts[h].placer.Ended(w.now, route.Result{Attempt: id, Status: route.Cancelled}))
	})
}

// ran notes that an upstream began to work on the request.
func (r *worldRequest) ran() {
	r.runs++
	r.offered++
	if r.refused {
		r.broken = "runs after it was refused as not run"
	}
	if r.offered > 1 && !r.in.Idempotent {
		r.broken = "runs twice though it may run once"
	}
}

// settle gives a caller its final answer. One that is refused comes back once.
func (w *world) settle(a Action) {
	r := w.requests[int(a.Request)]
	if r.settled {
		panic(fmt.Sprintf("request %d is settled twice", r.id))
	}
	p := r.in.Priority
	took := w.now - r.firstAsk
	if r.refused = a.Kind == route.Refuse; r.refused && r.offered > 0 {
		r.broken = "refused as not run though it ran"
	}
	switch {
	case a.Kind == route.Finish && took <= r.in.Target:
		w.got.inTime[p]++
	case a.Kind == route.Finish:
		w.got.late[p]++
	case a.Kind == route.Refuse && r.retries == 0 && w.now+a.RetryAfter < r.in.GiveUp:
		r.retries++
		w.after(a.RetryAfter, func() { w.offer(r) })
		return
	case a.Kind == route.Refuse:
		w.got.refused[p]++
	default:
		w.got.failed[p]++
	}
	r.settled = true
}

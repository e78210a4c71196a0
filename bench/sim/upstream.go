package sim

import (
	"math/rand/v2"
	"slices"

	"siskinpath/core/route"
)

const (
	queuedPerSlot = 8               // requests an upstream queues for each slot before it sheds load
	refuseAfter   = Millisecond / 2 // work of saying no
)

// job is one request at an upstream.
type job struct {
	arrived  Micros
	inFlight int    // requests here when it came, itself left out
	left     Micros // work left at full speed
	since    Micros // when left was last right
	version  int    // rises when the job is scheduled anew
	running  bool
	gone     bool
	deadline Micros
	answer   func(status route.Status, load *route.LoadReport)
}

// upstream is a small fake: slots, a queue, a speed, and faults.
type upstream struct {
	e       *engine
	rand    *rand.Rand
	name    string
	zone    int
	slots   int
	mean    Micros
	slow    float64 // work takes this many times as long; 1 is full speed
	running []*job
	queue   []*job

	failing  bool // answers every request with an error at once
	draining bool // refuses new requests and says so
	lies     bool // says that it drains though it does not
	silent   bool // takes requests and answers nothing
	cold     bool // its requests share the speed of one slot
	down     bool // gone without a word

	over int    // most requests at once beyond its slots
	done int    // requests served whole
	seen []seen // newest latencies by requests in flight
}

func (u *upstream) load() route.LoadReport {
	return route.LoadReport{InFlight: len(u.running), Queued: len(u.queue), Draining: u.draining || u.lies}
}

// arrive takes a request in.
func (u *upstream) arrive(j *job) {
	switch {
	case u.down, u.silent:
		return
	case u.failing:
		u.reply(j, refuseAfter, route.Errored)
	case u.draining, len(u.queue) >= queuedPerSlot*u.slots:
		u.reply(j, refuseAfter, route.Refused)
	default:
		j.left = Micros(u.rand.ExpFloat64() * float64(u.mean))
		j.arrived = u.e.now
		j.inFlight = len(u.queue) + len(u.running)
		u.queue = append(u.queue, j)
		u.over = max(u.over, len(u.queue)+len(u.running)-u.slots)
		u.start()
	}
}

func (u *upstream) reply(j *job, span Micros, status route.Status) {
	u.e.after(span, func() {
		load := u.load()
		j.answer(status, &load)
	})
}

func (u *upstream) start() {
	for len(u.running) < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if j.deadline <= u.e.now {
			u.reply(j, 0, route.Refused)
			continue
		}
		j.running = true
		j.since = u.e.now
		u.running = append(u.running, j)
		u.schedule(j)
		u.share()
	}
}

func (u *upstream) schedule(j *job) {
	j.version++
	version := j.version
	u.e.after(Micros(float64(j.left)*u.slow), func() {
		if j.version == version && !j.gone {
			u.finish(j)
		}
	})
}

func (u *upstream) finish(j *job) {
	u.done++
	u.note(j.inFlight, u.e.now-j.arrived)
	u.remove(j)
	load := u.load()
	j.answer(route.Succeeded, &load)
}

// seen are the newest latencies of requests that found as many others.
type seen struct {
	latencies []Micros
}

// note keeps the newest latencies, for the policies that ask for them.
func (u *upstream) note(inFlight int, latency Micros) {
	const kept = 8
	for len(u.seen) <= inFlight {
		u.seen = append(u.seen, seen{})
	}
	s := &u.seen[inFlight]
	if len(s.latencies) == kept {
		s.latencies = s.latencies[1:]
	}
	s.latencies = append(s.latencies, latency)
}

// medianLatency returns the median of the newest latencies of requests that
// found about as many others as there are now.
func (u *upstream) medianLatency() Micros {
	n := len(u.queue) + len(u.running)
	for off := range max(n, len(u.seen)) + 1 {
		for _, i := range []int{n - off, n + off} {
			if i >= 0 && i < len(u.seen) && len(u.seen[i].latencies) > 0 {
				sorted := slices.Sorted(slices.Values(u.seen[i].latencies))
				return sorted[len(sorted)/2]
			}
		}
	}
	return u.mean
}

// cancel drops a request whose connection was closed.
func (u *upstream) cancel(j *job) {
	if !j.gone {
		u.remove(j)
	}
}

func (u *upstream) remove(j *job) {
	j.gone = true
	same := func(other *job) bool { return other == j }
	u.running = slices.DeleteFunc(u.running, same)
	u.queue = slices.DeleteFunc(u.queue, same)
	u.share()
	if !u.down {
		u.start()
	}
}

// setSlow changes the speed, also of the work under way.
func (u *upstream) setSlow(slow float64) {
	for _, j := range u.running {
		done := Micros(float64(u.e.now-j.since) / u.slow)
		j.left = max(0, j.left-done)
		j.since = u.e.now
	}
	u.slow = slow
	for _, j := range u.running {
		u.schedule(j)
	}
}

// share lets a cold upstream's requests slow each other down.
func (u *upstream) share() {
	if u.cold {
		u.setSlow(float64(max(1, len(u.running))))
	}
}

// stop ends the upstream without a word: nothing under way is answered.
func (u *upstream) stop() {
	u.down = true
	for _, j := range u.running {
		j.gone = true
	}
	u.running = nil
	u.queue = nil
}

package sim

import (
	"math/rand/v2"
	"slices"

	"siskinpath/core/route"
)

const (
	queueLimitPerSlot = 8               // requests an upstream queues for each slot before it sheds load
	refusalTime       = Millisecond / 2 // work of saying no
)

// job is one request at an upstream.
type job struct {
	arrived   Micros
	inFlight  int    // requests here when it came, itself left out
	remaining Micros // work left at full speed
	updatedAt Micros // when left was last right
	version   int    // rises when the job is scheduled anew
	running   bool
	removed   bool
	deadline  Micros
	answer    func(status route.Status, load *route.LoadReport)
}

// upstream is a small fake: slots, a queue, a speed, and faults.
type upstream struct {
	engine          *engine
	rand            *rand.Rand
	name            string
	zone            int
	slots           int
	meanServiceTime Micros
	slowdown        float64 // work takes this many times as long; 1 is full speed
	running         []*job
	queue           []*job

	failing    bool // answers every request with an error at once
	draining   bool // refuses new requests and says so
	falseDrain bool // says that it drains though it does not
	silent     bool // takes requests and answers nothing
	coldStart  bool // its requests share the speed of one slot
	down       bool // gone without a word

	maxOvershoot int             // most requests at once beyond its slots
	done         int             // requests served whole
	latencies    []latencyWindow // newest latencies by requests in flight
}

func (u *upstream) load() route.LoadReport {
	return route.LoadReport{InFlight: len(u.running), Queued: len(u.queue), Draining: u.draining || u.falseDrain}
}

// arrive takes a request in.
func (u *upstream) arrive(j *job) {
	switch {
	case u.down, u.silent:
		return
	case u.failing:
		u.reply(j, refusalTime, route.Errored)
	case u.draining, len(u.queue) >= queueLimitPerSlot*u.slots:
		u.reply(j, refusalTime, route.Refused)
	default:
		j.remaining = Micros(u.rand.ExpFloat64() * float64(u.meanServiceTime))
		j.arrived = u.engine.now
		j.inFlight = len(u.queue) + len(u.running)
		u.queue = append(u.queue, j)
		u.maxOvershoot = max(u.maxOvershoot, len(u.queue)+len(u.running)-u.slots)
		u.start()
	}
}

func (u *upstream) reply(j *job, span Micros, status route.Status) {
	u.engine.after(span, func() {
		load := u.load()
		j.answer(status, &load)
	})
}

func (u *upstream) start() {
	for len(u.running) < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if j.deadline <= u.engine.now {
			u.reply(j, 0, route.Refused)
			continue
		}
		j.running = true
		j.updatedAt = u.engine.now
		u.running = append(u.running, j)
		u.schedule(j)
		u.updateSharedSpeed()
	}
}

func (u *upstream) schedule(j *job) {
	j.version++
	version := j.version
	u.engine.after(Micros(float64(j.remaining)*u.slowdown), func() {
		if j.version == version && !j.removed {
			u.finish(j)
		}
	})
}

func (u *upstream) finish(j *job) {
	u.done++
	u.recordLatency(j.inFlight, u.engine.now-j.arrived)
	u.remove(j)
	load := u.load()
	j.answer(route.Succeeded, &load)
}

// latencyWindow are the newest latencies of requests that found as many others.
type latencyWindow struct {
	latencies []Micros
}

// recordLatency keeps the newest latencies, for the policies that ask for them.
func (u *upstream) recordLatency(inFlight int, latency Micros) {
	const kept = 8
	for len(u.latencies) <= inFlight {
		u.latencies = append(u.latencies, latencyWindow{})
	}
	s := &u.latencies[inFlight]
	if len(s.latencies) == kept {
		s.latencies = s.latencies[1:]
	}
	s.latencies = append(s.latencies, latency)
}

// medianLatency returns the median of the newest latencies of requests that
// found about as many others as there are now.
func (u *upstream) medianLatency() Micros {
	n := len(u.queue) + len(u.running)
	for off := range max(n, len(u.latencies)) + 1 {
		for _, i := range []int{n - off, n + off} {
			if i >= 0 && i < len(u.latencies) && len(u.latencies[i].latencies) > 0 {
				sorted := slices.Sorted(slices.Values(u.latencies[i].latencies))
				return sorted[len(sorted)/2]
			}
		}
	}
	return u.meanServiceTime
}

// cancel drops a request whose connection was closed.
func (u *upstream) cancel(j *job) {
	if !j.removed {
		u.remove(j)
	}
}

func (u *upstream) remove(j *job) {
	j.removed = true
	same := func(other *job) bool { return other == j }
	u.running = slices.DeleteFunc(u.running, same)
	u.queue = slices.DeleteFunc(u.queue, same)
	u.updateSharedSpeed()
	if !u.down {
		u.start()
	}
}

// setSlowdown changes the speed, also of the work under way.
func (u *upstream) setSlowdown(slow float64) {
	for _, j := range u.running {
		done := Micros(float64(u.engine.now-j.updatedAt) / u.slowdown)
		j.remaining = max(0, j.remaining-done)
		j.updatedAt = u.engine.now
	}
	u.slowdown = slow
	for _, j := range u.running {
		u.schedule(j)
	}
}

// updateSharedSpeed lets a cold upstream's requests slow each other down.
func (u *upstream) updateSharedSpeed() {
	if u.coldStart {
		u.setSlowdown(float64(max(1, len(u.running))))
	}
}

// crash ends the upstream without a word: nothing under way is answered.
func (u *upstream) crash() {
	u.down = true
	for _, j := range u.running {
		j.removed = true
	}
	u.running = nil
	u.queue = nil
}

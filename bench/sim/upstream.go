package sim

import (
	"math/rand/v2"
	"slices"

	"siskinpath/core/route"
)

const (
	queueLimitPerSlot = 8               // length of the queue per slot at which an upstream sheds load
	refusalTime       = Millisecond / 2 // time to answer without doing the work
)

// job is one request at an upstream.
type job struct {
	arrived   Micros
	inFlight  int    // number of other requests at the upstream when this one arrived
	remaining Micros // remaining service time at full speed, as of updatedAt
	updatedAt Micros // time at which remaining was computed
	version   int    // increments when the job is rescheduled, which invalidates earlier events
	running   bool
	removed   bool // finished, cancelled or lost with the upstream
	deadline  Micros
	answer    func(status route.Status, load *route.LoadReport)
}

// upstream is a simulated upstream with a number of slots, a queue, a speed and
// faults.
type upstream struct {
	engine          *engine
	rand            *rand.Rand
	name            string
	zone            int
	slots           int
	meanServiceTime Micros
	slowdown        float64 // factor on the service time; 1 is full speed
	running         []*job
	queue           []*job

	failing    bool // answers every request with an error immediately
	draining   bool // refuses new requests and reports that it is draining
	falseDrain bool // reports that it is draining, but serves requests as before
	silent     bool // accepts requests and never answers
	coldStart  bool // its running requests share the speed of one slot
	down       bool // crashed: connections are neither accepted nor closed

	maxOvershoot int             // largest number of requests in excess of its slots
	served       int             // requests completed
	latencies    []latencyWindow // recent latencies, indexed by job.inFlight
}

// load returns the load report that upstreams attach to their answers.
func (u *upstream) load() route.LoadReport {
	return route.LoadReport{InFlight: len(u.running), Queued: len(u.queue), Draining: u.draining || u.falseDrain}
}

// arrive accepts, refuses or drops a request.
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

// reply answers a request without serving it, after delay.
func (u *upstream) reply(j *job, delay Micros, status route.Status) {
	u.engine.after(delay, func() {
		load := u.load()
		j.answer(status, &load)
	})
}

// start moves queued requests to free slots and refuses those past their
// deadline.
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

// schedule schedules the end of a running request at the current speed.
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
	u.served++
	u.recordLatency(j.inFlight, u.engine.now-j.arrived)
	u.remove(j)
	load := u.load()
	j.answer(route.Succeeded, &load)
}

// latencyWindow holds the most recent latencies of requests that found the same
// number of other requests on arrival.
type latencyWindow struct {
	recent []Micros
}

// recordLatency records a latency for medianLatency, which the probes of a
// ProbePool report.
func (u *upstream) recordLatency(inFlight int, latency Micros) {
	const windowSize = 8
	for len(u.latencies) <= inFlight {
		u.latencies = append(u.latencies, latencyWindow{})
	}
	window := &u.latencies[inFlight]
	if len(window.recent) == windowSize {
		window.recent = window.recent[1:]
	}
	window.recent = append(window.recent, latency)
}

// medianLatency returns the median of the recent latencies of requests that
// arrived when about as many other requests were in flight as are now. Without
// any it returns the mean service time.
func (u *upstream) medianLatency() Micros {
	n := len(u.queue) + len(u.running)
	for off := range max(n, len(u.latencies)) + 1 {
		for _, i := range []int{n - off, n + off} {
			if i >= 0 && i < len(u.latencies) && len(u.latencies[i].recent) > 0 {
				sorted := slices.Sorted(slices.Values(u.latencies[i].recent))
				return sorted[len(sorted)/2]
			}
		}
	}
	return u.meanServiceTime
}

// cancel removes a request whose connection was closed.
func (u *upstream) cancel(j *job) {
	if !j.removed {
		u.remove(j)
	}
}

// remove removes a request and starts queued ones in its place.
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

// setSlowdown changes the speed, including that of running requests.
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

// updateSharedSpeed divides the speed of one slot among the running requests of
// an upstream in cold start.
func (u *upstream) updateSharedSpeed() {
	if u.coldStart {
		u.setSlowdown(float64(max(1, len(u.running))))
	}
}

// crash stops the upstream without any notice: requests in flight are never
// answered.
func (u *upstream) crash() {
	u.down = true
	for _, j := range u.running {
		j.removed = true
	}
	u.running = nil
	u.queue = nil
}

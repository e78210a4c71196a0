package loadsim

import (
	"cmp"
	"fmt"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// maxQueue is how many requests an upstream queues before it sheds further ones.
	maxQueue = 8
	// meanSpeedPeriod is the mean time between random draws of an upstream's speed. With
	// probability slowShare it is then slower by slowFactor.
	meanSpeedPeriod = 300 * clock.Millisecond
	slowShare       = 0.25
	slowFactor      = 4.0
	// highLoadShare is the share of occupied slots above which an upstream is slower by
	// highLoadFactor.
	highLoadShare  = 0.8
	highLoadFactor = 1.7
	// coldTime is how long an upstream that has just started is slower by coldFactor.
	coldTime   = 3 * clock.Second
	coldFactor = 2.0
	// step is the longest period of work simulated at a constant speed.
	step = 5 * clock.Millisecond
)

// Upstream is a simulated upstream with a number of slots and a queue.
type Upstream struct {
	ID         string
	Slots      int
	Down       bool    // accepts no connection
	Silent     bool    // does not answer
	ErrorShare float64 // share of the requests answered with an error at once
	ShedShare  float64 // share of the requests shed although it has room
	Zone       string  // availability zone
	// IgnoresOverflow is set if it never answers requests that it cannot queue, where
	// others refuse them.
	IgnoresOverflow bool

	// Arrivals counts the requests that have reached it, and Queued those of them that had to
	// wait there although another upstream had a free slot.
	Arrivals, Queued int

	running   int
	queue     []*run
	slowdown  float64
	coldUntil clock.Millis
}

// run is an attempt of a request at an upstream.
type run struct {
	request   *Request
	attempt   route.AttemptID
	host      int
	sender    *host // the start of the host that sent it
	upstream  *Upstream
	cancelled bool
	remaining float64 // remaining work in ms at slowdown 1
	slowdown  float64 // at its start
}

func newUpstream(i, slots int) *Upstream {
	return &Upstream{ID: fmt.Sprintf("u%02d", i), Slots: slots, slowdown: 1}
}

// Shed lets upstreams shed a share of their requests from after on for span, although
// they report room.
func (sim *Simulation) Shed(list []*Upstream, share float64, after, span clock.Millis) {
	setShare := func(share float64) func() {
		return func() {
			for _, u := range list {
				u.ShedShare = share
			}
		}
	}
	sim.After(after, setShare(share))
	sim.After(after+span, setShare(0))
}

// Restart makes u slow for coldTime, as after a start.
func (sim *Simulation) Restart(u *Upstream) { u.coldUntil = sim.now + coldTime }

// drawSpeed draws at random whether u is slow, and schedules the next draw.
func (sim *Simulation) drawSpeed(u *Upstream) {
	u.slowdown = 1
	if sim.Rand.Float64() < cmp.Or(sim.cfg.SlowShare, slowShare) {
		u.slowdown = cmp.Or(sim.cfg.SlowFactor, slowFactor)
	}
	sim.After(clock.Millis(sim.Rand.ExpFloat64()*float64(cmp.Or(sim.cfg.SpeedPeriod, meanSpeedPeriod)))+1, func() { sim.drawSpeed(u) })
}

// slowdownNow returns the factor by which work at u takes longer now.
func (sim *Simulation) slowdownNow(u *Upstream) float64 {
	s := u.slowdown
	if float64(u.running) > highLoadShare*float64(u.Slots) {
		s *= highLoadFactor
	}
	if sim.now < u.coldUntil {
		s *= coldFactor
	}
	return s
}

func (u *Upstream) report() *route.LoadReport {
	return &route.LoadReport{InFlight: u.running, Queued: len(u.queue), Slots: u.Slots, Slowdown: u.slowdown}
}

func (sim *Simulation) arrive(run *run) {
	u := run.upstream
	u.Arrivals++
	switch {
	case u.Down:
		sim.endAttempt(run, route.NotSent)
	case u.Silent:
		return
	case u.ShedShare > 0 && sim.Rand.Float64() < u.ShedShare:
		sim.endAttempt(run, route.Refused)
	case sim.Rand.Float64() < u.ErrorShare:
		run.request.ran()
		sim.endAttempt(run, route.Errored)
	case u.running < u.Slots:
		sim.startRun(run)
	case len(u.queue) < cmp.Or(sim.cfg.QueueLength, maxQueue):
		u.queue = append(u.queue, run)
		if slices.ContainsFunc(sim.Upstreams, func(u *Upstream) bool { return !u.Down && !u.Silent && u.running < u.Slots }) {
			u.Queued++
		}
	case u.IgnoresOverflow:
		return
	default:
		sim.endAttempt(run, route.Refused)
	}
}

func (sim *Simulation) startRun(run *run) {
	run.request.ran()
	run.upstream.running++
	run.slowdown = sim.slowdownNow(run.upstream)
	sim.advance(run)
}

// advance simulates the next step of a run.
func (sim *Simulation) advance(run *run) {
	u := run.upstream
	if run.cancelled || run.remaining <= 0 {
		u.running--
		if !run.cancelled {
			sim.endAttempt(run, route.Succeeded)
		}
		sim.startQueued(u)
		return
	}
	slowdown := run.slowdown
	if !sim.cfg.SpeedAtStart {
		slowdown = sim.slowdownNow(u)
	}
	part := min(float64(step), run.remaining*slowdown)
	run.remaining -= part / slowdown
	if run.remaining < 0.01 {
		run.remaining = 0
	}
	sim.After(clock.Millis(part)+1-clock.Millis(min(1, part/float64(step))), func() { sim.advance(run) })
}

// startQueued starts queued runs while there are free slots.
func (sim *Simulation) startQueued(u *Upstream) {
	for len(u.queue) > 0 && u.running < u.Slots {
		first := u.queue[0]
		u.queue = u.queue[1:]
		if !first.cancelled {
			sim.startRun(first)
		}
	}
}

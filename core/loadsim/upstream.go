package loadsim

import (
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// queueRoom is how many requests wait at an upstream before it sheds.
	queueRoom = 8
	// spellLength is the mean time after which it is drawn anew whether an upstream
	// is slow, slowShare how often it is, and slowBy by how much.
	spellLength = 300 * clock.Millisecond
	slowShare   = 0.25
	slowBy      = 4.0
	// knee is the share of its slots above which an upstream works more slowly, and
	// kneeBy by how much.
	knee   = 0.8
	kneeBy = 1.7
	// coldFor is how long an upstream that has just started is slow, and coldBy by
	// how much.
	coldFor = 3 * clock.Second
	coldBy  = 2.0
	// step is how finely work is played.
	step = 5 * clock.Millisecond
)

// Upstream runs requests in slots, and lets some wait.
type Upstream struct {
	ID         string
	Slots      int
	Down       bool    // takes no connection
	Silent     bool    // answers nothing
	ErrorShare float64 // share of the requests that it answers with an error at once
	ShedShare  float64 // share of the requests that it sheds though it has room

	running   int
	queue     []*run
	slowdown  float64
	coldUntil clock.Millis
}

// run is an attempt at an upstream.
type run struct {
	request   *Request
	attempt   route.AttemptID
	host      int
	upstream  *Upstream
	cancelled bool
	left      float64 // ms of work at slowdown 1
}

func newUpstream(i, slots int) *Upstream {
	return &Upstream{ID: fmt.Sprintf("u%02d", i), Slots: slots, slowdown: 1}
}

// Restart makes u as slow as one that has just started.
func (w *Simulation) Restart(u *Upstream) { u.coldUntil = w.now + coldFor }

// spell draws anew whether an upstream is slow.
func (w *Simulation) spell(u *Upstream) {
	u.slowdown = 1
	if w.Rand.Float64() < slowShare {
		u.slowdown = slowBy
	}
	w.After(clock.Millis(w.Rand.ExpFloat64()*float64(spellLength))+1, func() { w.spell(u) })
}

// slowed returns how many times longer work takes now.
func (w *Simulation) slowed(u *Upstream) float64 {
	s := u.slowdown
	if float64(u.running) > knee*float64(u.Slots) {
		s *= kneeBy
	}
	if w.now < u.coldUntil {
		s *= coldBy
	}
	return s
}

func (u *Upstream) report() *route.LoadReport {
	return &route.LoadReport{InFlight: u.running, Queued: len(u.queue), Slots: u.Slots, Slowdown: u.slowdown}
}

func (w *Simulation) arrive(run *run) {
	u := run.upstream
	switch {
	case u.Down:
		w.end(run, route.NotSent)
	case u.Silent:
		return
	case u.ShedShare > 0 && w.Rand.Float64() < u.ShedShare:
		w.end(run, route.Refused)
	case w.Rand.Float64() < u.ErrorShare:
		run.request.ran()
		w.end(run, route.Errored)
	case u.running < u.Slots:
		w.begin(run)
	case len(u.queue) < queueRoom:
		u.queue = append(u.queue, run)
	default:
		w.end(run, route.Refused)
	}
}

func (w *Simulation) begin(run *run) {
	run.request.ran()
	run.upstream.running++
	w.advance(run)
}

// advance plays a bit of work.
func (w *Simulation) advance(run *run) {
	u := run.upstream
	if run.cancelled || run.left <= 0 {
		u.running--
		if !run.cancelled {
			w.end(run, route.Succeeded)
		}
		w.next(u)
		return
	}
	slowed := w.slowed(u)
	part := min(float64(step), run.left*slowed)
	run.left -= part / slowed
	if run.left < 0.01 {
		run.left = 0
	}
	w.After(clock.Millis(part)+1-clock.Millis(min(1, part/float64(step))), func() { w.advance(run) })
}

// next begins with requests that wait.
func (w *Simulation) next(u *Upstream) {
	for len(u.queue) > 0 && u.running < u.Slots {
		first := u.queue[0]
		u.queue = u.queue[1:]
		if !first.cancelled {
			w.begin(first)
		}
	}
}

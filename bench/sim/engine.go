// Package sim is a discrete-event simulation of one service: its callers, hosts,
// network latencies and simple simulated upstreams. The hosts run either the
// project's own route.Shard or a baseline policy. The simulation compares
// policies and does not model the cluster: the assignment of upstreams to owners
// is computed directly, and hosts fail only where a scenario says so.
package sim

import (
	"container/heap"

	"siskinpath/core/clock"
)

// Micros is a point in virtual time or a duration, in microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Millis converts a point in time to the clock of the core packages, rounding
// down. On that clock the simulation starts at one hour, as the daemon does.
func (m Micros) Millis() clock.Millis {
	return clock.Hour + clock.Millis(m/Millisecond)
}

// fromMillis converts a point in time from the clock of the core packages.
func fromMillis(m clock.Millis) Micros { return Micros(m-clock.Hour) * Millisecond }

type event struct {
	at    Micros
	order uint64 // sequence number; events due at the same time run in this order
	run   func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// engine runs events in order of their time.
type engine struct {
	now    Micros
	events events
	order  uint64
}

// after schedules fn to run after delay.
func (e *engine) after(delay Micros, fn func()) { e.at(e.now+delay, fn) }

// at schedules fn to run at a point in time, or now if that has passed.
func (e *engine) at(at Micros, fn func()) {
	e.order++
	heap.Push(&e.events, event{at: max(at, e.now), order: e.order, run: fn})
}

// runUntil runs the events due up to and including end, and advances the clock to
// end.
func (e *engine) runUntil(end Micros) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

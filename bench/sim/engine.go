// Package sim runs one service in virtual time: callers, hosts, links and small
// fake upstreams, with the project's own route.Shard or a baseline policy on the
// hosts. It is a measuring bench for policies, not a simulator of the cluster:
// ownership is given and hosts fail only where a scenario says so.
package sim

import (
	"container/heap"

	"siskinpath/core/clock"
)

// Micros is a point in virtual time or a span of it, in microseconds.
type Micros int64

// Spans.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Millis converts to the time of the decision packages, rounding down. Virtual
// time starts at one hour there, as in the daemon.
func (m Micros) Millis() clock.Millis {
	return clock.Hour + clock.Millis(m/Millisecond)
}

// fromMillis converts a point in time of the decision packages.
func fromMillis(m clock.Millis) Micros { return Micros(m-clock.Hour) * Millisecond }

type event struct {
	at    Micros
	order uint64
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Push adds an event; container/heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// engine runs events in order of time.
type engine struct {
	now    Micros
	events events
	order  uint64
}

// after runs fn once span has passed.
func (e *engine) after(delay Micros, fn func()) { e.at(e.now+delay, fn) }

func (e *engine) at(at Micros, fn func()) {
	e.order++
	heap.Push(&e.events, event{at: max(at, e.now), order: e.order, run: fn})
}

// runUntil runs what is due up to end.
func (e *engine) runUntil(end Micros) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

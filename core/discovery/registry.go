// Package discovery keeps what the platform's service discovery says of
// upstreams, and decides which entries still count around an outage of the
// store. It is plain state without goroutines, sockets or wall clock.
package discovery

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
)

// Upstream is the entry of one start of an upstream.
type Upstream struct {
	ID               string // names this start, mostly
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Leaving          bool
	ColdFor          clock.Millis // how much longer it is slow after its start
	Started          int64        // point in time of its start by its own clock; tells two starts under one ID apart
}

// Entry is what the store holds under one id. Upstream is nil for an entry that
// was removed or names no upstream that can be used.
type Entry struct {
	ID       string
	Upstream *Upstream
	Version  int64
	// Missing says that a whole read did not show the entry any more.
	Missing bool
}

const (
	// returnWithin is how long an entry still counts that was missing after an
	// outage. Those of upstreams that live are back by then, and an upstream that
	// leaves may get new work for two seconds.
	returnWithin = 1700 * clock.Millisecond
	// outageEcho is how long after an outage entries may be missing due to it.
	outageEcho = 4 * clock.Second
)

// Registry holds the entries. The zero value is empty.
type Registry struct {
	entries  map[string]*entry
	outageAt clock.Millis // when the store was last seen away
	outage   bool         // it was seen away at all
}

type entry struct {
	Upstream
	version   int64
	coldUntil clock.Millis
	doubtAt   clock.Millis // when it was removed in the wake of an outage; 0 for not removed
}

// ActiveUpstream is an upstream that may be used, and until when it is slow.
type ActiveUpstream struct {
	Upstream
	ColdUntil clock.Millis
}

// RecordOutage takes in that the store could not be read just now.
func (r *Registry) RecordOutage(now clock.Millis) {
	r.outageAt = now
	r.outage = true
}

// Apply takes in entries that have changed. Those older than what is known are
// passed over. It tells whether anything changed.
func (r *Registry) Apply(now clock.Millis, entries []Entry) (changed bool) {
	if r.entries == nil {
		r.entries = map[string]*entry{}
	}
	for _, e := range entries {
		changed = r.applyOne(e, now) || changed
	}
	return changed
}

func (r *Registry) applyOne(e Entry, now clock.Millis) (changed bool) {
	known := r.entries[e.ID]
	if known != nil && e.Version < known.version {
		return false
	}
	if known != nil && e.Missing {
		return r.missing(now, e.ID)
	}
	if e.Upstream == nil {
		delete(r.entries, e.ID)
		return known != nil
	}
	if known != nil && known.Upstream == *e.Upstream && known.doubtAt == 0 {
		known.version = e.Version
		return false
	}
	next := &entry{Upstream: *e.Upstream, version: e.Version}
	if e.Upstream.ColdFor > 0 {
		next.coldUntil = now + e.Upstream.ColdFor
	}
	r.entries[e.ID] = next
	return true
}

// missing drops an entry that a whole read did not show, or keeps it for a while
// when an outage may be why it lapsed. One that was leaving is dropped in any
// case. A removal that the store tells of is always believed.
func (r *Registry) missing(now clock.Millis, id string) (changed bool) {
	e := r.entries[id]
	if e.Leaving || !r.outage || now-r.outageAt > outageEcho {
		delete(r.entries, id)
		return true
	}
	if e.doubtAt == 0 {
		e.doubtAt = now
	}
	return false
}

// Tick drops entries that did not come back after an outage.
func (r *Registry) Tick(now clock.Millis) (changed bool) {
	for id, e := range r.entries {
		if e.doubtAt > 0 && now-e.doubtAt >= returnWithin {
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// Next returns when Tick is due, 0 for not at all.
func (r *Registry) Next() (at clock.Millis) {
	for _, e := range r.entries {
		if e.doubtAt > 0 && (at == 0 || e.doubtAt+returnWithin < at) {
			at = e.doubtAt + returnWithin
		}
	}
	return at
}

// Service returns the upstreams of a service in the order of their ids.
func (r *Registry) Service(name string) (list []ActiveUpstream) {
	for _, e := range r.entries {
		if e.Service == name {
			list = append(list, ActiveUpstream{Upstream: e.Upstream, ColdUntil: e.coldUntil})
		}
	}
	slices.SortFunc(list, func(a, b ActiveUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len returns the number of entries that count.
func (r *Registry) Len() int { return len(r.entries) }

// Package discovery holds the upstreams registered in the platform's service discovery,
// and decides how long entries stay valid after an outage of the store. It uses no
// goroutine, socket or wall clock.
package discovery

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
)

// Upstream describes one instance of an upstream, from a start to its end.
type Upstream struct {
	ID               string // usually unique to this start; see Started
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Leaving          bool
	ColdFor          clock.Millis // time left until it has warmed up after its start
	Started          int64        // time of its start by its own clock; distinguishes two starts under one ID
}

// Entry is the value of one ID in the store. Upstream is nil if the entry was removed or
// does not describe a usable upstream.
type Entry struct {
	ID       string
	Upstream *Upstream
	Version  int64
	// Missing means that a full read no longer contained the entry, without an explicit
	// removal.
	Missing bool
}

const (
	// missingGrace is how long an entry that is missing after an outage stays valid.
	// Running upstreams have registered again by then, and it is below the two seconds
	// for which a leaving upstream may still get new work.
	missingGrace = 1700 * clock.Millisecond
	// outageEffect is how long after an outage a missing entry is attributed to it.
	outageEffect = 4 * clock.Second
)

// Registry holds the entries of service discovery. The zero value is empty.
type Registry struct {
	entries  map[string]*entry
	outageAt clock.Millis // when the store was last unavailable
	outage   bool         // the store has been unavailable at least once
}

type entry struct {
	Upstream
	version      int64
	coldUntil    clock.Millis
	missingSince clock.Millis // since when it is missing after an outage; 0 if it is not
}

// ActiveUpstream is an upstream that may be used, with the time until which it is slow
// after its start.
type ActiveUpstream struct {
	Upstream
	ColdUntil clock.Millis
}

// RecordOutage records that the store could not be read.
func (r *Registry) RecordOutage(now clock.Millis) {
	r.outageAt = now
	r.outage = true
}

// Apply updates the registry with changed entries. Entries older than the ones held are
// ignored. It reports whether the registry changed.
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
	if known != nil && known.Upstream == *e.Upstream && known.missingSince == 0 {
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

// missing handles an entry that a full read no longer contained. If an outage may have
// caused it to expire, the entry stays for missingGrace, unless its upstream was
// leaving. Otherwise it is dropped. Explicit removals don't get here: Apply drops those
// at once.
func (r *Registry) missing(now clock.Millis, id string) (changed bool) {
	e := r.entries[id]
	if e.Leaving || !r.outage || now-r.outageAt > outageEffect {
		delete(r.entries, id)
		return true
	}
	if e.missingSince == 0 {
		e.missingSince = now
	}
	return false
}

// Tick drops entries that are missing after an outage for longer than missingGrace. It
// reports whether there were any.
func (r *Registry) Tick(now clock.Millis) (changed bool) {
	for id, e := range r.entries {
		if e.missingSince > 0 && now-e.missingSince >= missingGrace {
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// Next returns when Tick is due, 0 for never.
func (r *Registry) Next() (at clock.Millis) {
	for _, e := range r.entries {
		if e.missingSince > 0 && (at == 0 || e.missingSince+missingGrace < at) {
			at = e.missingSince + missingGrace
		}
	}
	return at
}

// Service returns the active upstreams of a service, ordered by ID.
func (r *Registry) Service(name string) (list []ActiveUpstream) {
	for _, e := range r.entries {
		if e.Service == name {
			list = append(list, ActiveUpstream{Upstream: e.Upstream, ColdUntil: e.coldUntil})
		}
	}
	slices.SortFunc(list, func(a, b ActiveUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len returns the number of valid entries.
func (r *Registry) Len() int { return len(r.entries) }

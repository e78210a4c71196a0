// Package discovery holds the upstreams registered in the platform's service discovery,
// and decides how long entries stay valid after an outage of the store. It uses no
// goroutine, socket or wall clock.
package discovery

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/revision"
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
	Revision revision.Revision
	// Missing means that a full read no longer contained the entry, without an explicit
	// removal.
	Missing bool
	// LastSeen is how long ago, at most, a missing entry was still in the store: the age of
	// the copy that had it.
	LastSeen clock.Millis
}

const (
	// missingGrace is how long an entry that is missing after an outage stays valid.
	// Running upstreams have registered again by then, and it is below the two seconds
	// for which a leaving upstream may still get new work.
	missingGrace = 1700 * clock.Millisecond
	// outageEffect is how long after an outage a missing entry is attributed to it.
	outageEffect = 4 * clock.Second
	// restoredQuarantine is how long an upstream that has left stays unused when a
	// store that comes back from an older copy lists it again. By then the store has
	// removed the entries of upstreams that no longer send heartbeats.
	restoredQuarantine = 7 * clock.Second
	// departureMemory is how long departed upstreams are remembered. A copy of the
	// store is at most some seconds old.
	departureMemory = clock.Minute
)

// Registry holds the entries of service discovery. The zero value is empty. Set the exported
// field before use.
type Registry struct {
	// MinLapse is the shortest outage of the store in which the entry of an upstream that
	// runs can expire. An entry that was in the store later than that was removed.
	MinLapse clock.Millis

	entries  map[string]*entry
	departed map[string]departure // upstreams that left, by ID
	outageAt clock.Millis         // when the store was last unavailable
	outage   bool                 // the store has been unavailable at least once
}

type entry struct {
	Upstream
	revision         revision.Revision
	coldUntil        clock.Millis
	missingSince     clock.Millis // since when it is missing after an outage; 0 if it is not
	quarantinedUntil clock.Millis // until when it is unused, as it has left before; 0 if it has not
}

// departure records that an upstream was leaving, or that its entry was removed.
type departure struct {
	started  int64 // see Upstream.Started
	revision revision.Revision
	at       clock.Millis
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
	if known != nil && e.Revision.Before(known.revision) {
		return false
	}
	if known != nil && e.Missing {
		return r.missing(now, e)
	}
	if e.Upstream == nil {
		r.drop(now, e.ID, e.Revision)
		return known != nil
	}
	if known != nil && listsEarlierStart(known, e) {
		u := *e.Upstream
		u.Started = known.Started
		e.Upstream = &u
	}
	if known != nil && known.Upstream == *e.Upstream && known.missingSince == 0 && !coldAgain(known, e) {
		released := known.quarantinedUntil > 0 && writtenSinceRestore(known, e) && known.revision.Before(e.Revision)
		if released {
			known.quarantinedUntil = 0
			delete(r.departed, e.ID)
		}
		known.revision = e.Revision
		return released
	}
	next := &entry{Upstream: *e.Upstream, revision: e.Revision}
	if e.Upstream.ColdFor > 0 {
		next.coldUntil = now + e.Upstream.ColdFor
	}
	if e.Upstream.Leaving {
		r.recordDeparture(now, e.ID, e.Upstream.Started, e.Revision)
	} else if r.restoredAfterDeparture(e) && !writtenSinceRestore(known, e) {
		next.quarantinedUntil = now + restoredQuarantine
	}
	r.entries[e.ID] = next
	return true
}

// coldAgain reports whether e is a later row that names the same time left as the one
// before: its upstream has become cold once more, or has not begun to warm up.
func coldAgain(known *entry, e Entry) bool {
	return e.Upstream.ColdFor > 0 && known.revision.Era == e.Revision.Era && known.revision.Before(e.Revision)
}

// listsEarlierStart reports whether e is the entry of an earlier start of an upstream, from
// the copy that the store has come back from. What runs at its address is the later start.
func listsEarlierStart(known *entry, e Entry) bool {
	return known.revision.Era < e.Revision.Era && e.Upstream.Started < known.Started && e.Upstream.Address == known.Address
}

// writtenSinceRestore reports whether e is a change in the era in which its upstream is
// in quarantine, so that the upstream itself wrote it.
func writtenSinceRestore(known *entry, e Entry) bool {
	return known != nil && known.quarantinedUntil > 0 && known.revision.Era == e.Revision.Era
}

// drop deletes an entry and remembers that its upstream has left.
func (r *Registry) drop(now clock.Millis, id string, at revision.Revision) {
	if known := r.entries[id]; known != nil {
		r.recordDeparture(now, id, known.Started, at)
		delete(r.entries, id)
	}
}

func (r *Registry) recordDeparture(now clock.Millis, id string, started int64, at revision.Revision) {
	if r.departed == nil {
		r.departed = map[string]departure{}
	}
	for other, d := range r.departed {
		if now-d.at > departureMemory {
			delete(r.departed, other)
		}
	}
	r.departed[id] = departure{started: started, revision: at, at: now}
}

// restoredAfterDeparture reports whether e lists an upstream that left in an earlier
// era of the store: the copy from which the store has come back may be older than its
// departure. A departure that the same era takes back is not remembered.
func (r *Registry) restoredAfterDeparture(e Entry) bool {
	d, ok := r.departed[e.ID]
	if !ok || d.started != e.Upstream.Started {
		return false
	}
	if d.revision.Era == e.Revision.Era {
		delete(r.departed, e.ID)
		return false
	}
	return true
}

// missing handles an entry that a full read no longer contained. If an outage may have
// caused the entry to expire, it stays for missingGrace, unless its upstream was leaving.
// Otherwise it is dropped. Explicit removals don't get here: Apply drops those at once.
func (r *Registry) missing(now clock.Millis, missing Entry) (changed bool) {
	e := r.entries[missing.ID]
	if e.Leaving || !r.outage || now-r.outageAt > outageEffect || missing.LastSeen < r.MinLapse {
		r.drop(now, missing.ID, missing.Revision)
		return true
	}
	if e.missingSince == 0 {
		e.missingSince = now
	}
	e.revision = missing.Revision
	return false
}

// Tick drops entries that are missing after an outage for longer than missingGrace, and
// ends quarantines. It returns the numbers of both.
func (r *Registry) Tick(now clock.Millis) (dropped, released int) {
	for id, e := range r.entries {
		switch {
		case e.missingSince > 0 && now-e.missingSince >= missingGrace:
			r.drop(now, id, e.revision)
			dropped++
		case e.quarantinedUntil > 0 && now >= e.quarantinedUntil:
			e.quarantinedUntil = 0
			delete(r.departed, id)
			released++
		}
	}
	return dropped, released
}

// Next returns when Tick is due, 0 for never.
func (r *Registry) Next() (at clock.Millis) {
	for _, e := range r.entries {
		if e.missingSince > 0 && (at == 0 || e.missingSince+missingGrace < at) {
			at = e.missingSince + missingGrace
		}
		if e.quarantinedUntil > 0 && (at == 0 || e.quarantinedUntil < at) {
			at = e.quarantinedUntil
		}
	}
	return at
}

// Service returns the active upstreams of a service, ordered by ID. Those in quarantine
// are left out.
func (r *Registry) Service(name string) (list []ActiveUpstream) {
	for _, e := range r.entries {
		if e.Service == name && e.quarantinedUntil == 0 {
			list = append(list, ActiveUpstream{Upstream: e.Upstream, ColdUntil: e.coldUntil})
		}
	}
	slices.SortFunc(list, func(a, b ActiveUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// HasZone reports whether an upstream of an availability zone is registered.
func (r *Registry) HasZone(zone string) bool {
	for _, e := range r.entries {
		if e.AvailabilityZone == zone {
			return true
		}
	}
	return false
}

// Len returns the number of valid entries.
func (r *Registry) Len() int { return len(r.entries) }

// Package roster decides by the list of registered hosts which of them may hold shares of
// fleet-wide limits, and what this host must write to the list.
//
// Hosts learn of changes of the list at different times. The sum of the shares stays within
// a limit all the same, as each holder is among the first by rank of a list that contains
// all other holders:
//
//   - A host holds shares only while its copy of the list is younger than Lease.
//   - A new host is Joining, and counted by the others. It holds nothing for Lease.
//   - A host that is gone is first marked as leaving. A leaving host holds nothing, and is
//     counted for another Lease before its row is removed.
//
// A further host in a list never raises the rank of another, so holders of lists that differ
// are also holders of the list of holders alone; see fleetlimit.Spread.
//
// The package starts no goroutines, opens no sockets and reads no wall clock.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/fleetlimit"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
)

// ErrConflict reports that a row is not as a Write expects it.
var ErrConflict = errors.New("the row in the list of hosts has changed")

// State is how far a host's registration has come.
type State string

// States of a registration.
const (
	Joining State = "joining" // some hosts may not count it yet
	Active  State = "active"  // every host with a copy younger than the lease counts it
)

// Entry is a row of the list of hosts.
type Entry struct {
	Host     overlay.Host
	State    State
	Leaving  bool // another host takes it for gone
	Revision revision.Revision
}

// Row is a changed row of the list.
type Row struct {
	ID    string
	Entry *Entry // nil if the row is gone or can't be read
}

// Write is a change of the list that this host must make.
type Write struct {
	Entry Entry
	// Replaces is the revision that the row must have, the zero Revision if it must not exist.
	Replaces      revision.Revision
	Unconditional bool // Replaces does not count
	Remove        bool
}

const (
	// ShortestLease is the shortest lease for which the list travels fast enough.
	ShortestLease = 3 * clock.Second
	// leaseMargin is how much earlier than others count on it a host stops granting.
	leaseMargin = 300 * clock.Millisecond
	// registrationTime is how long a confirmed write may take to come back with the list.
	registrationTime = 3 * clock.Second
	// objectionTime is how long a host that was marked as leaving may take to object before
	// others are marked too.
	objectionTime = 2 * clock.Second
	// objectionPause is how long this host marks none as leaving after one has objected:
	// it may itself be cut off.
	objectionPause = 30 * clock.Second
	// firstMarked is the number of hosts that are marked before one may have objected.
	firstMarked = 4
	// absentShare is how long a host must be absent before it is marked, as a share of the lease.
	absentShare = 0.9
	// FirstStartWindow is how long after its start a host of a fleet that starts for the
	// first time may register as Active.
	FirstStartWindow = 3400 * clock.Millisecond
	// firstStartSettle is the age of a host in such a fleet from which a list that it reads
	// has all hosts that have registered as Active. It covers hosts that start later.
	firstStartSettle = 4600 * clock.Millisecond
)

// Proof is what a host knows about the age of its copy of the list.
type Proof struct {
	Age    clock.Millis // upper bound of the age
	EraAge clock.Millis // lower bound of how long the store has not come back from an older copy
}

// Roster is the list of hosts as one host knows it. Set the exported fields before use. A
// Roster is not safe for concurrent use.
type Roster struct {
	Self       overlay.Host
	Lease      clock.Millis
	FirstStart bool         // the whole fleet starts for the first time
	Started    clock.Millis // when this process started

	read       bool              // the list is known
	rejoin     bool              // this host must register anew
	registered revision.Revision // of the last write to this host's row that the store has confirmed
	awaitUntil clock.Millis      // until when that write may take to come back with the list
	entries    map[string]*known
	// Of hosts that this one marks as leaving:
	marked      map[string]bool
	markedAt    clock.Millis // of the first ones; 0 for none
	pausedUntil clock.Millis
	absentSince map[string]clock.Millis
}

// known is an entry with the time at which this host learned of it.
type known struct {
	Entry
	at clock.Millis
}

func (r *Roster) init() {
	if r.entries == nil {
		r.entries, r.marked, r.absentSince = map[string]*known{}, map[string]bool{}, map[string]clock.Millis{}
	}
}

// Apply applies changed rows. The first call has the whole list.
func (r *Roster) Apply(now clock.Millis, rows []Row) {
	r.init()
	r.read = true
	for _, row := range rows {
		old := r.entries[row.ID]
		if row.Entry == nil {
			delete(r.entries, row.ID)
			delete(r.marked, row.ID)
			continue
		}
		if old != nil && old.Leaving && !row.Entry.Leaving && r.marked[row.ID] {
			delete(r.marked, row.ID)
			r.pausedUntil = now + objectionPause
		}
		r.entries[row.ID] = &known{Entry: *row.Entry, at: now}
		if row.ID == r.Self.ID {
			r.awaitUntil = 0
		}
	}
}

// Settled returns when a host of a fleet that starts for the first time may read a list that
// has all others; 0 at any other start.
func (r *Roster) Settled() clock.Millis {
	if !r.FirstStart {
		return 0
	}
	return r.Started + firstStartSettle
}

// Read reports whether the list is known.
func (r *Roster) Read() bool { return r.read }

// Entries returns the rows of the list by id.
func (r *Roster) Entries() (list []Entry) {
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		list = append(list, r.entries[id].Entry)
	}
	return list
}

// Members returns the hosts that count for the choice of holders, by id.
func (r *Roster) Members() (members []fleetlimit.Member) {
	for _, e := range r.Entries() {
		members = append(members, fleetlimit.Member{ID: e.Host.ID, AvailabilityZone: e.Host.AvailabilityZone, Capacity: e.Host.Capacity})
	}
	return members
}

// MayHold reports whether this host may hold shares of limits among Members.
func (r *Roster) MayHold(now clock.Millis, p Proof) bool {
	own := r.own()
	switch {
	case own == nil || own.Leaving || r.rejoin || p.Age > r.Lease-leaseMargin || p.EraAge < r.Lease:
		return false
	case r.FirstStart && now-p.Age < r.Settled():
		return false
	}
	return own.State == Active || now-own.at >= r.Lease
}

// own returns this host's row, nil if there is none by which others rank it as it is.
func (r *Roster) own() *known {
	k := r.entries[r.Self.ID]
	if k == nil || k.Revision.Before(r.registered) || k.Host.Capacity != r.Self.Capacity || k.Host.AvailabilityZone != r.Self.AvailabilityZone {
		return nil
	}
	return k
}

// Registered records that the store has confirmed a write to this host's own row.
func (r *Roster) Registered(now clock.Millis, w Write, at revision.Revision) {
	r.registered, r.awaitUntil = at, now+registrationTime
	r.rejoin = !r.read && w.Entry.State == Active && now > r.Started+FirstStartWindow
}

// RegistrationConflict records that this host's row was not as Registration took it to be.
func (r *Roster) RegistrationConflict() { r.rejoin = true }

// Registration returns what this host must write to its own row, if anything: a new row, one
// with other addresses, or its objection to being marked as leaving.
func (r *Roster) Registration(now clock.Millis) (w Write, needed bool) {
	r.init()
	w.Entry = Entry{Host: r.Self, State: Joining}
	own := r.own()
	switch {
	case now < r.awaitUntil && !r.rejoin:
		return w, false
	case !r.read && (!r.FirstStart || r.rejoin || now > r.Started+FirstStartWindow):
		return w, false
	case !r.read:
		w.Entry.State = Active
		return w, true
	case own == nil || r.rejoin:
		w.Unconditional = true
		return w, true
	case own.Leaving || !sameAddresses(own.Host, r.Self):
		w.Entry.State, w.Replaces = own.State, own.Revision
		return w, true
	}
	return w, false
}

func sameAddresses(a, b overlay.Host) bool {
	return a.PeerAddress == b.PeerAddress && a.CallerAddress == b.CallerAddress && a.ForwardAddress == b.ForwardAddress
}

// Upkeep returns what the host that looks after the list must write to the rows of others.
// live reports whether a host runs. Call it regularly, with responsible set while this host
// is the one.
func (r *Roster) Upkeep(now clock.Millis, responsible bool, live func(id string) bool) (writes []Write) {
	r.init()
	if !responsible || !r.read {
		r.markedAt = 0
		clear(r.absentSince)
		clear(r.marked)
		return nil
	}
	var absent []*known
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		k := r.entries[id]
		if id == r.Self.ID {
			continue
		}
		lives := live(id)
		switch {
		case k.Leaving && !lives && now-k.at >= r.Lease:
			writes = append(writes, Write{Entry: k.Entry, Replaces: k.Revision, Remove: true})
		case !k.Leaving && k.State == Joining && now-k.at >= r.Lease:
			w := Write{Entry: k.Entry, Replaces: k.Revision}
			w.Entry.State = Active
			writes = append(writes, w)
		case !k.Leaving && r.isAbsent(now, id, lives):
			absent = append(absent, k)
		}
	}
	return append(writes, r.mark(now, absent)...)
}

// isAbsent reports whether a host has not been live for so long that it counts as gone.
func (r *Roster) isAbsent(now clock.Millis, id string, lives bool) bool {
	if lives {
		delete(r.absentSince, id)
		delete(r.marked, id)
		return false
	}
	since, known := r.absentSince[id]
	if !known {
		since = now
		r.absentSince[id] = now
	}
	return float64(now-since) >= absentShare*float64(r.Lease)
}

// mark marks absent hosts as leaving: a few of them, and the others once those have had the
// time to object.
func (r *Roster) mark(now clock.Millis, absent []*known) (writes []Write) {
	switch {
	case len(absent) == 0 || now < r.pausedUntil:
		if len(r.marked) == 0 {
			r.markedAt = 0
		}
		return nil
	case r.markedAt == 0:
		r.markedAt = now
		absent = absent[:min(firstMarked, len(absent))]
	case now-r.markedAt < objectionTime:
		return nil
	}
	for _, k := range absent {
		w := Write{Entry: k.Entry, Replaces: k.Revision}
		w.Entry.Leaving = true
		writes = append(writes, w)
		r.marked[k.Host.ID] = true
	}
	return writes
}

// Report is the state of the list as shown to operators.
type Report struct {
	Hosts   int      `json:"hosts"`
	State   State    `json:"state,omitempty"` // of this host; empty if it is not in the list
	Joining []string `json:"joining,omitempty"`
	Leaving []string `json:"leaving,omitempty"`
}

// Report returns the state of the list.
func (r *Roster) Report() (report Report) {
	report.Hosts = len(r.entries)
	if own := r.own(); own != nil {
		report.State = own.State
	}
	for _, e := range r.Entries() {
		if e.Leaving {
			report.Leaving = append(report.Leaving, e.Host.ID)
		} else if e.State == Joining {
			report.Joining = append(report.Joining, e.Host.ID)
		}
	}
	return report
}

// LeaseFor returns the lease for a bound on the age of keys, which is 0 for none. Without
// one, requests are served while the store is away for long, and quotas must be too.
func LeaseFor(revocation clock.Millis) clock.Millis {
	return max(ShortestLease, cmp.Or(revocation, longLease))
}

// longLease is longer than the store is usually away.
const longLease = 30 * clock.Second

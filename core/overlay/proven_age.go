package overlay

import (
	"siskinpath/core/clock"
)

// A proven age is an upper bound of the age of a table. Unlike the ages of age.go it does
// not take the arrival of a message for the time at which it was sent, so that it also
// holds for messages that a link held back, and for a host that was suspended. Times are of
// this host's boot clock (clock.Boot).

// provenTimes are the times as of which a table is proven to be known; see tableAge.
type provenTimes struct {
	byStore   clock.Millis // starts of own calls to the store; 0 for none
	bySources clock.Millis // by sources; 0 for none
}

const (
	// provenFollowShare is the part of the bound on the proven age at which a host asks the
	// store itself.
	provenFollowShare = 0.5
	// provenStepShare is the part of the bound after which twice as many leaves ask. A leaf
	// that shares its trouble with all others is among the last after four steps, with a
	// quarter of the bound left for its call.
	provenStepShare = 0.06
)

// ProveByStore records that the store has answered a call that this host started at a time:
// the host has every change of a table that was accepted until then.
func (o *Overlay) ProveByStore(table string, started clock.Millis) {
	p := &o.table(table).proven
	p.byStore = max(p.byStore, started)
}

// ProveBySource records that a source, after it had received what this host sent at a time,
// had every change of a table up to an age before, and that this host has them too.
func (o *Overlay) ProveBySource(table string, sent, age clock.Millis) {
	if age >= UnknownAge {
		return
	}
	p := &o.table(table).proven
	p.bySources = max(p.bySources, sent-age)
}

// ProvenAge returns the proven age of this host's copy of a table, UnknownAge for none.
func (o *Overlay) ProvenAge(boot clock.Millis, table string) clock.Millis {
	p := o.table(table).proven
	if at := max(p.byStore, p.bySources); at > 0 {
		return max(0, boot-at)
	}
	return UnknownAge
}

// isAmongRelays reports whether this host is one of the first by rank, a relay, or takes
// the place of one after a number of steps, each of which doubles the number of relays.
// Without relays all hosts do.
func (o *Overlay) isAmongRelays(hosts []Host, steps int) bool {
	relays := o.relayCount()
	return relays == 0 || containsHost(hosts[:min(len(hosts), SourceCount+relays<<min(steps, maxSteps))], o.Self.ID)
}

// maxSteps limits the steps: with it, more hosts than there are take the place of relays.
const maxSteps = 6

// ShouldProve reports whether the sources leave the proven age of ProvenTable so high that
// this host must ask the store itself. In a large fleet, leaves begin by rank.
func (o *Overlay) ShouldProve(now, boot clock.Millis) bool {
	if o.ProvenBound == 0 {
		return false
	}
	if o.provenFrom == 0 {
		// As long as a host that starts waits for its first source, it does not ask.
		o.provenFrom = boot + max(0, o.ageFrom-now)
	}
	bound := float64(o.ProvenBound)
	age := boot - max(o.table(o.ProvenTable).proven.bySources, o.provenFrom)
	over := float64(age) - provenFollowShare*bound
	return over > 0 && o.isAmongRelays(o.reachable(now), int(over/(provenStepShare*bound)))
}

package overlay

import "siskinpath/core/clock"

const (
	// followListShare, relayListShare and leafListShare are the proven ages of the list of
	// hosts, as shares of the lease, from which the hosts that follow the store, relays and
	// leaves read it themselves. The first host by rank always does.
	followListShare = 0.6
	relayListShare  = 0.7
	leafListShare   = 0.76
	// listStepShare is the part of the lease after which twice as many leaves do.
	listStepShare = 0.04
)

// ShouldFollowList reports whether this host must follow a table of hosts itself, for all
// others or since its sources leave the proven age too high for a lease. It is first called
// when the host has read the table; from then on it waits for its sources.
func (o *Overlay) ShouldFollowList(now, boot clock.Millis, table string, lease clock.Millis) bool {
	o.init()
	if o.listFollowedFrom == 0 {
		o.listFollowedFrom = boot
	}
	rank := o.reachableRank(now)
	if rank == 0 {
		return true
	}
	age := float64(boot-max(o.table(table).proven.bySources, o.listFollowedFrom)) / float64(lease)
	relays := o.relayCount()
	switch {
	case rank < SourceCount:
		return age > followListShare
	case relays == 0 || rank < SourceCount+relays:
		return age > relayListShare
	}
	steps := (age - leafListShare) / listStepShare
	return steps > 0 && rank < SourceCount+relays<<min(int(steps)+1, maxSteps)
}

// reachableRank returns the rank of this host among those that it can reach.
func (o *Overlay) reachableRank(now clock.Millis) (rank int) {
	for _, h := range o.rankedHosts() {
		if h.ID == o.Self.ID {
			break
		}
		if now >= o.known[h.ID].avoidUntil {
			rank++
		}
	}
	return rank
}

// LiveHosts returns the ids of the hosts that are known to live: this one, sources,
// subscribers, and the hosts that these report. At the hosts that follow the store these
// are all.
func (o *Overlay) LiveHosts(boot clock.Millis) map[string]bool {
	o.init()
	live := map[string]bool{o.Self.ID: true}
	for _, h := range o.rankedHosts() {
		if o.lives(boot, h.ID) {
			live[h.ID] = true
		}
	}
	return live
}

// lives reports whether another host is known to live.
func (o *Overlay) lives(boot clock.Millis, id string) bool {
	if s := o.sessions[id]; s != nil && boot-s.contactAt <= maxContactAge {
		return true
	}
	if _, subscribed := o.subscribers[id]; subscribed && o.HasSubscriberContact(boot, id) {
		return true
	}
	for source, hosts := range o.reported {
		if _, reported := hosts[id]; reported && boot-o.sessions[source].contactAt <= maxContactAge {
			return true
		}
	}
	for subscriber, below := range o.below {
		if below[id] && o.HasSubscriberContact(boot, subscriber) {
			return true
		}
	}
	return false
}

// LooksAfterList reports whether this host marks and removes the rows of hosts that are gone:
// it is the first by rank of those that it knows to live and to reach the store.
func (o *Overlay) LooksAfterList(boot clock.Millis) bool {
	o.init()
	for _, h := range o.rankedHosts() {
		if h.ID == o.Self.ID {
			return true
		}
		if s := o.sessions[h.ID]; (s == nil || !s.storeLost) && o.lives(boot, h.ID) {
			return false
		}
	}
	return false
}

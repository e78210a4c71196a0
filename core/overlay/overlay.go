// Package overlay decides which hosts follow the platform's store for all others,
// which of them a host listens to, and which hosts callers may be sent to. It is
// plain state without goroutines, sockets or wall clock.
//
// All hosts order each other in the same way. The first few that a host reaches
// follow the store. In a small fleet all others listen to them; in a large one
// the next of the order do, and the rest listens to these. A host that hears
// nobody who can read the store follows it itself. So the calls to the store grow
// with the changes and not with the hosts, and nothing has to be agreed.
package overlay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Host is a host as others see it.
type Host struct {
	ID               string
	Incarnation      uint64 // random, new at each start
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	Capacity         int  // what it can do for others, in thousandths of a core
	Ready            bool // takes callers
}

const (
	// SourceCount is how many hosts a host listens to: enough that two of them may
	// be cut off at the same moment.
	SourceCount = 3
	// maxFlatFleet is the size of a fleet up to which all hosts listen to those that
	// follow the store.
	maxFlatFleet = 40
	// hostsPerRelay is how many hosts there are for each one that passes changes on
	// in a larger fleet. Each of them is listened to by three times as many.
	hostsPerRelay = 12
	// HeartbeatInterval is how often both ends of a session say that they live.
	HeartbeatInterval = 400 * clock.Millisecond
	// SessionTimeout is the silence after which a session is given up: three
	// heartbeats, which leaves time to read the store within two seconds.
	SessionTimeout = 1200 * clock.Millisecond
	// unreachableBackoff is how long a host that could not be reached is passed over.
	unreachableBackoff = 3 * clock.Second
	// minAddresses is how many addresses callers get from their own availability
	// zone before those of others are added.
	minAddresses = 2
	// staleAfter is the silence after which a host is no longer relied on, though
	// its session still stands: two heartbeats.
	staleAfter = 900 * clock.Millisecond
	// noSourceWait is how long a host waits for another to listen to.
	noSourceWait = 100 * clock.Millisecond
	// storeLostWait is how long a host waits while all whom it hears have lost the
	// store, before it tries the store itself.
	storeLostWait = 500 * clock.Millisecond
	// storeLostWaitStep is how much longer those wait in a large fleet whom nobody listens
	// to, for each time that the number of hosts that try the store has doubled: what
	// twenty hosts can't read, the others can't as a rule.
	storeLostWaitStep = 4 * clock.Second
)

// Overlay is what one host knows of the others. Set the exported fields before
// use. Not safe for concurrent use.
type Overlay struct {
	Self Host

	known         map[string]*knownHost
	sessions      map[string]*session
	reported      map[string]map[string]Host // by the host that tells, then by id
	subscribers   map[string]Host            // hosts that listen to this one
	reportedCount int                        // hosts that others know
	ranked        []Host                     // all hosts in their order; nil when it has to be made anew
	noSourceSince clock.Millis               // since when nobody is heard who can read the store; 0 for somebody is
	maxNoSource   clock.Millis               // how long that is borne
	hasPeers      bool                       // other hosts are known
}

// knownHost is a host that may be listened to.
type knownHost struct {
	Host
	avoidUntil clock.Millis
}

// session is a connection to a host that is listened to.
type session struct {
	heardAt   clock.Millis // 0 for not yet
	storeLost bool         // it can't read the store
}

// AddHosts takes in hosts from the platform's store or from other hosts.
func (o *Overlay) AddHosts(hosts []Host) {
	o.init()
	for _, h := range hosts {
		if h.ID == o.Self.ID || h.PeerAddress == "" {
			continue
		}
		if k := o.known[h.ID]; k != nil {
			k.Host = h
			continue
		}
		o.known[h.ID] = &knownHost{Host: h}
		o.hasPeers = true
		o.ranked = nil
	}
}

func (o *Overlay) init() {
	if o.known != nil {
		return
	}
	o.known = map[string]*knownHost{}
	o.sessions = map[string]*session{}
	o.reported = map[string]map[string]Host{}
	o.subscribers = map[string]Host{}
}

// Size returns how many hosts there are, this one included.
func (o *Overlay) Size() int { return max(1+len(o.known), o.reportedCount) }

// rankKey makes the order of all hosts the same on each of them.
const rankKey = "watchers"

// rankedHosts returns all hosts, first those that follow the store for the others. The
// first few are in different availability zones as far as there are enough.
func (o *Overlay) rankedHosts() []Host {
	if o.ranked != nil {
		return o.ranked
	}
	all := []Host{o.Self}
	for _, k := range o.known {
		all = append(all, k.Host)
	}
	slices.SortFunc(all, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rank(rankKey, a), rank(rankKey, b)), cmp.Compare(a.ID, b.ID))
	})
	seen := map[string]int{}
	turn := map[string]int{} // which of its zone a host is
	for _, h := range all {
		turn[h.ID] = seen[h.AvailabilityZone]
		seen[h.AvailabilityZone]++
	}
	slices.SortStableFunc(all, func(a, b Host) int { return cmp.Compare(turn[a.ID], turn[b.ID]) })
	o.ranked = all
	return all
}

// rank places a host in an order in which those of more capacity come first as a
// rule: one with a slow link can hold up all that listen to it.
func rank(key string, h Host) float64 {
	uniform := (float64(membership.RendezvousWeight(key, h.ID)>>11) + 0.5) / (1 << 53)
	c := float64(max(1, h.Capacity))
	return -math.Log(uniform) / (c * c)
}

// reachable returns the order without the hosts that this one could not reach.
func (o *Overlay) reachable(now clock.Millis) (hosts []Host) {
	for _, h := range o.rankedHosts() {
		if h.ID == o.Self.ID || now >= o.known[h.ID].avoidUntil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Sources returns the hosts to listen to now.
func (o *Overlay) Sources(now clock.Millis) (targets []Host) {
	o.init()
	hosts := o.reachable(now)
	relays := o.relayCount()
	first := hosts[:min(len(hosts), SourceCount)]
	next := hosts[len(first):min(len(hosts), SourceCount+relays)]
	if relays > 0 && !containsHost(first, o.Self.ID) && !containsHost(next, o.Self.ID) {
		first = o.nearest(next)
	}
	for _, h := range first {
		if h.ID != o.Self.ID {
			targets = append(targets, h)
		}
	}
	return targets
}

// relayCount returns how many hosts pass on what those tell that follow the store.
func (o *Overlay) relayCount() int {
	if n := o.Size(); n > maxFlatFleet {
		return n / hostsPerRelay
	}
	return 0
}

// nearest returns the hosts of list that this one listens to: those of its
// availability zone first, and within these its own choice, so that the load is
// spread.
func (o *Overlay) nearest(list []Host) []Host {
	list = slices.Clone(list)
	far := func(h Host) int {
		if h.AvailabilityZone == o.Self.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b Host) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(rank(o.Self.ID, a), rank(o.Self.ID, b)))
	})
	return list[:min(len(list), SourceCount)]
}

func containsHost(list []Host, id string) bool {
	return slices.ContainsFunc(list, func(h Host) bool { return h.ID == id })
}

// SessionOpened takes in that a session began with a host.
func (o *Overlay) SessionOpened(id string) {
	o.init()
	o.sessions[id] = &session{}
	o.reported[id] = map[string]Host{}
}

// HandleUpdate takes in a message of a host that is listened to: whether it has lost the
// store, how many hosts it knows, hosts that changed, and ids of those that went.
func (o *Overlay) HandleUpdate(now clock.Millis, id string, lost bool, count int, hosts []Host, gone []string) {
	s := o.sessions[id]
	if s == nil {
		return
	}
	s.heardAt = now
	s.storeLost = lost
	o.reportedCount = max(o.reportedCount, count)
	for _, h := range hosts {
		o.reported[id][h.ID] = h
	}
	for _, g := range gone {
		delete(o.reported[id], g)
	}
	o.AddHosts(hosts)
}

// SessionClosed takes in that a session ended or never began.
func (o *Overlay) SessionClosed(now clock.Millis, id string) {
	o.init()
	delete(o.sessions, id)
	delete(o.reported, id)
	if k := o.known[id]; k != nil {
		k.avoidUntil = now + unreachableBackoff
	}
}

// AddSubscriber takes in that a host listens to this one, with what it says of itself.
func (o *Overlay) AddSubscriber(h Host) {
	o.init()
	o.subscribers[h.ID] = h
	o.AddHosts([]Host{h})
}

// RemoveSubscriber takes in that a host no longer listens to this one.
func (o *Overlay) RemoveSubscriber(id string) {
	o.init()
	delete(o.subscribers, id)
}

// Subscribers returns the hosts that listen to this one.
func (o *Overlay) Subscribers() (hosts []Host) {
	for _, h := range o.subscribers {
		hosts = append(hosts, h)
	}
	return hosts
}

// ShouldFollowStore tells whether this host has to follow the store itself.
func (o *Overlay) ShouldFollowStore(now clock.Millis) bool {
	o.init()
	hosts := o.reachable(now)
	if o.hasPeers && containsHost(hosts[:min(len(hosts), SourceCount)], o.Self.ID) {
		return true
	}
	heard := false
	for _, s := range o.sessions {
		if s.heardAt == 0 || now-s.heardAt > staleAfter {
			continue
		}
		if !s.storeLost {
			o.noSourceSince, o.maxNoSource = 0, noSourceWait
			return false
		}
		heard = true
	}
	if o.noSourceSince == 0 {
		o.noSourceSince = now
	}
	alone := now - o.noSourceSince
	return alone >= o.maxNoSource && (!heard || alone >= o.storeLostDelay(hosts))
}

// storeLostDelay returns how long this host waits while all whom it hears have lost the
// store. hosts are those that it can reach, in their order.
func (o *Overlay) storeLostDelay(hosts []Host) clock.Millis {
	relays := o.relayCount()
	if relays == 0 {
		return storeLostWait // the others listen to the first only
	}
	wait := storeLostWait
	own := slices.IndexFunc(hosts, func(h Host) bool { return h.ID == o.Self.ID })
	for trying := SourceCount + relays; trying <= own; trying *= 2 {
		wait += storeLostWaitStep
	}
	return wait
}

// Start begins the time for which a host that has heard nobody yet waits.
func (o *Overlay) Start(now, patience clock.Millis) {
	o.init()
	o.noSourceSince, o.maxNoSource = now, patience
}

// StoreLost tells whether all hosts that are heard have lost the store.
func (o *Overlay) StoreLost() bool {
	heard := false
	for _, s := range o.sessions {
		if s.heardAt > 0 && !s.storeLost {
			return false
		}
		heard = heard || s.heardAt > 0
	}
	return heard
}

// CallerAddresses returns the addresses for callers of an availability zone: this host,
// if it is ready, and others that live, those of the zone first.
func (o *Overlay) CallerAddresses(zone string, most int, rnd *rand.Rand) (addresses []string) {
	near, far := []string{}, []string{}
	for id, h := range o.liveHosts() {
		switch {
		case !h.Ready || id == o.Self.ID:
		case h.AvailabilityZone == zone:
			near = append(near, h.CallerAddress)
		default:
			far = append(far, h.CallerAddress)
		}
	}
	if o.Self.Ready {
		addresses = append(addresses, o.Self.CallerAddress)
	}
	shuffled := func(list []string) []string {
		slices.Sort(list)
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list
	}
	addresses = append(addresses, shuffled(near)...)
	if len(addresses) < minAddresses {
		addresses = append(addresses, shuffled(far)...)
	}
	return addresses[:min(most, len(addresses))]
}

// liveHosts returns the hosts that this one or one that it listens to hears.
func (o *Overlay) liveHosts() map[string]Host {
	out := map[string]Host{}
	for _, hosts := range o.reported {
		for id, h := range hosts {
			out[id] = h
		}
	}
	for id, h := range o.subscribers {
		out[id] = h
	}
	return out
}

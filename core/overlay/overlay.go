// Package overlay maintains one host's part of the overlay network that
// distributes changes of the platform's store: which hosts follow the store for
// all others, which hosts a host receives changes from (its sources), and which
// hosts callers may be sent to. It starts no goroutines, opens no sockets and
// reads no wall clock.
//
// All hosts rank each other in the same way. The first few that a host can
// reach follow the store. In a small fleet all others receive changes from
// them. In a large fleet the next in rank do and act as relays, and the rest
// receive changes from the relays. A host without a source that can read the
// store follows it itself. The number of calls to the store therefore grows
// with the changes and not with the hosts, and the hosts need no agreement.
package overlay

import (
	"cmp"
	"math"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Host is a host as it describes itself to others.
type Host struct {
	ID               string
	Incarnation      uint64 // random, new at each start
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	ForwardAddress   string // where it takes requests of other hosts; "" if it takes none
	Capacity         int    // what it can spend on other hosts, in thousandths of a core
	Ready            bool   // accepts callers
}

const (
	// SourceCount is the number of sources of a host: enough for two of them to
	// be cut off at the same time.
	SourceCount = 3
	// maxFlatFleet is the largest number of hosts for which no relays are used
	// and all hosts subscribe to those that follow the store.
	maxFlatFleet = 40
	// hostsPerRelay is the number of hosts for each relay in a larger fleet. A
	// relay has about SourceCount times as many subscribers, because each host
	// has SourceCount sources.
	hostsPerRelay = 12
	// HeartbeatInterval is the time between two heartbeats, sent by both ends
	// of a session.
	HeartbeatInterval = 400 * clock.Millisecond
	// SessionTimeout is the time without a message after which a session is
	// closed: three heartbeat intervals, which leaves time to read the store
	// within two seconds.
	SessionTimeout = 1200 * clock.Millisecond
	// unreachableBackoff is the time for which a host is not used as a source
	// after its session ended or could not be opened.
	unreachableBackoff = 3 * clock.Second
	// minAddresses is the number of addresses from the caller's availability
	// zone below which addresses of other zones are added.
	minAddresses = 2
	// staleAfter is the time without a message after which a source is no longer
	// relied on, although its session is still open: a little over two heartbeat
	// intervals.
	staleAfter = 900 * clock.Millisecond
	// flatStartWait is how long after its start a host of a fleet without relays waits
	// for a source before it follows the store itself.
	flatStartWait = 60 * clock.Millisecond
	// tieredStartWait is how long a host of a fleet with relays waits for a source
	// after it has learned of the other hosts: the relays may have just started too,
	// and receive the tables from the hosts that follow the store.
	tieredStartWait = 300 * clock.Millisecond
	// noSourceWait is how long a host waits for a source before it follows the
	// store itself.
	noSourceWait = 100 * clock.Millisecond
	// storeLostWait is how long a host waits, while all its sources have lost
	// the store, before it tries the store itself.
	storeLostWait = 500 * clock.Millisecond
	// storeLostWaitStep is added to storeLostWait in a large fleet for hosts
	// without subscribers, once for each doubling of the number of hosts that
	// try the store. If twenty hosts cannot read the store, others usually
	// cannot either.
	storeLostWaitStep = 4 * clock.Second
)

// Overlay is one host's view of the overlay. Set the exported fields before
// use. An Overlay is not safe for concurrent use.
type Overlay struct {
	Self   Host
	Tables []string // names of the tables whose age is counted
	Spans  Spans
	// ProvenTable is the table whose proven age ProvenBound limits, in ms; 0 for no limit.
	ProvenTable string
	ProvenBound clock.Millis

	tables      map[string]*tableAge
	ageFrom     clock.Millis // time from which ages count before a table is known
	provenFrom  clock.Millis // the same for proven ages, by the boot clock; 0 before the first check
	known       map[string]*knownHost
	sessions    map[string]*session
	reported    map[string]map[string]Host // by id of the source, then by id of the host
	subscribers map[string]Host            // subscribers by id
	// subscriberContacts holds when subscribers last lived, by id; see RecordSubscriberContact.
	subscriberContacts map[string]clock.Millis
	// below holds the subscribers of subscribers, by id of the one that reports them.
	below         map[string]map[string]bool
	reportedCount int  // largest number of hosts reported by a source
	listRead      bool // the whole list of hosts has been read
	// listFollowedFrom is the time from which the age of the list counts before a source has
	// proven one, by the boot clock; 0 before the first check.
	listFollowedFrom clock.Millis
	ranked           []Host       // cache of rankedHosts; nil when it must be recomputed
	noSourceSince    clock.Millis // since when there has been no live source that can read the store; 0 while there is one
	sourceWait       clock.Millis // how long to wait without such a source
	hasPeers         bool         // another host is or was known
	backups          backupUse
	storeFailed      bool         // a call to the store has failed
	storeFailedAt    clock.Millis // the last one
}

// knownHost is a possible source.
type knownHost struct {
	Host
	avoidUntil clock.Millis
}

// session is a connection to a source.
type session struct {
	lastMessageAt clock.Millis // 0 before the first message
	storeLost     bool         // the source cannot read the store
	contactAt     clock.Millis // see RecordSourceContact
}

// HandleHostChanges adds or updates hosts that are listed in the platform's store, and removes
// those that are not any more, unless this host is in touch with them.
func (o *Overlay) HandleHostChanges(hosts []Host, removed []string) {
	o.AddHosts(hosts)
	o.listRead = true
	for _, id := range removed {
		if _, subscribed := o.subscribers[id]; subscribed || o.sessions[id] != nil || o.known[id] == nil {
			continue
		}
		delete(o.known, id)
		o.ranked = nil
	}
}

// AddHosts adds or updates hosts read from the platform's store or reported by
// other hosts.
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
	o.subscriberContacts = map[string]clock.Millis{}
	o.below = map[string]map[string]bool{}
}

// Size returns the number of hosts, including this one. Before the list of hosts has been
// read, it is at least what a source reports.
func (o *Overlay) Size() int {
	if o.listRead {
		return 1 + len(o.known)
	}
	return max(1+len(o.known), o.reportedCount)
}

// rankKey is the key of the ranking that is the same on every host.
const rankKey = "watchers"

// rankedHosts returns all hosts by rank; the first follow the store for the
// others. The first few are in different availability zones if there are enough
// zones.
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
	zoneIndex := map[string]int{} // host id to its position within its availability zone
	for _, h := range all {
		zoneIndex[h.ID] = seen[h.AvailabilityZone]
		seen[h.AvailabilityZone]++
	}
	slices.SortStableFunc(all, func(a, b Host) int { return cmp.Compare(zoneIndex[a.ID], zoneIndex[b.ID]) })
	o.ranked = all
	return all
}

// rank returns the position of a host in an order that depends on key; lower
// comes first. Hosts of more capacity usually come first, because one with a
// slow link can delay all its subscribers.
func rank(key string, h Host) float64 {
	uniform := (float64(membership.RendezvousWeight(key, h.ID)>>11) + 0.5) / (1 << 53)
	c := float64(max(1, h.Capacity))
	return -math.Log(uniform) / (c * c)
}

// reachable returns the hosts by rank, without those that this one recently
// failed to reach.
func (o *Overlay) reachable(now clock.Millis) (hosts []Host) {
	for _, h := range o.rankedHosts() {
		if h.ID == o.Self.ID || now >= o.known[h.ID].avoidUntil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Sources returns the hosts that this one should receive changes from now.
func (o *Overlay) Sources(now clock.Millis) (sources []Host) {
	o.init()
	hosts := o.reachable(now)
	count := SourceCount
	if o.NeedsMoreSources(now) {
		count *= 2
	}
	first := hosts[:min(len(hosts), count)]
	if o.isLeaf(hosts) {
		first = o.nearest(o.relays(hosts), count)
	}
	for _, h := range append(slices.Clone(first), o.backupSources(hosts, o.BackupSteps(now))...) {
		if h.ID != o.Self.ID && !containsHost(sources, h.ID) {
			sources = append(sources, h)
		}
	}
	return sources
}

// relayCount returns the number of relays, which pass on the changes reported by
// the hosts that follow the store.
func (o *Overlay) relayCount() int {
	if n := o.Size(); n > maxFlatFleet {
		return n / hostsPerRelay
	}
	return 0
}

// relays returns the relays among the reachable hosts by rank.
func (o *Overlay) relays(hosts []Host) []Host {
	first := min(len(hosts), SourceCount)
	return hosts[first:min(len(hosts), SourceCount+o.relayCount())]
}

// isLeaf reports whether this host receives changes from relays.
func (o *Overlay) isLeaf(hosts []Host) bool {
	return o.relayCount() > 0 && !containsHost(hosts[:min(len(hosts), SourceCount+o.relayCount())], o.Self.ID)
}

// nearest returns up to count hosts of list to use as sources. Those of this host's
// availability zone come first; within a zone each host has its own order,
// which spreads the load.
func (o *Overlay) nearest(list []Host, count int) []Host {
	list = slices.Clone(list)
	zoneDistance := func(h Host) int {
		if h.AvailabilityZone == o.Self.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b Host) int {
		return cmp.Or(cmp.Compare(zoneDistance(a), zoneDistance(b)), cmp.Compare(rank(o.Self.ID, a), rank(o.Self.ID, b)))
	})
	return list[:min(len(list), count)]
}

func containsHost(list []Host, id string) bool {
	return slices.ContainsFunc(list, func(h Host) bool { return h.ID == id })
}

// SessionOpened records that a session with a source began.
func (o *Overlay) SessionOpened(id string) {
	o.init()
	o.sessions[id] = &session{}
	o.reported[id] = map[string]Host{}
}

// HandleUpdate handles a message from a source: whether the source has lost the
// store, how many hosts it knows, hosts that changed, and ids of hosts that
// left.
func (o *Overlay) HandleUpdate(now clock.Millis, id string, lost bool, count int, hosts []Host, departed []string) {
	s := o.sessions[id]
	if s == nil {
		return
	}
	s.lastMessageAt = now
	s.storeLost = lost
	o.reportedCount = max(o.reportedCount, count)
	for _, h := range hosts {
		o.reported[id][h.ID] = h
	}
	for _, g := range departed {
		delete(o.reported[id], g)
	}
	o.AddHosts(hosts)
}

// SessionClosed records that a session with a source ended or could not be
// opened.
func (o *Overlay) SessionClosed(now clock.Millis, id string) {
	o.init()
	delete(o.sessions, id)
	delete(o.reported, id)
	if k := o.known[id]; k != nil {
		k.avoidUntil = now + unreachableBackoff
	}
}

// AddSubscriber records that a host receives changes from this one. h is the
// host as it describes itself.
func (o *Overlay) AddSubscriber(h Host) {
	o.init()
	o.subscribers[h.ID] = h
	o.AddHosts([]Host{h})
}

// RemoveSubscriber records that a host no longer receives changes from this one.
func (o *Overlay) RemoveSubscriber(id string) {
	o.init()
	delete(o.subscribers, id)
	delete(o.subscriberContacts, id)
	delete(o.below, id)
}

// RecordSubscribersOf records the subscribers that a subscriber of this host has.
func (o *Overlay) RecordSubscribersOf(id string, below []string) {
	o.init()
	o.below[id] = map[string]bool{}
	for _, b := range below {
		o.below[id][b] = true
	}
}

// Subscribers returns the hosts that receive changes from this one.
func (o *Overlay) Subscribers() (hosts []Host) {
	for _, h := range o.subscribers {
		hosts = append(hosts, h)
	}
	return hosts
}

// ShouldFollowStore reports whether this host has to follow the store itself: it is one
// of the first by rank, its sources have failed it, they leave its tables too old, or it is
// a backup. A leaf whose relays are all too old first waits for them to hear of backups.
func (o *Overlay) ShouldFollowStore(now clock.Millis) bool {
	o.init()
	hosts := o.reachable(now)
	if o.hasPeers && containsHost(hosts[:min(len(hosts), SourceCount)], o.Self.ID) {
		return true
	}
	leaf := o.isLeaf(hosts)
	if leaf && o.isBackup() && o.mayTryStore(now) {
		return true
	}
	tooOld := o.tooOld(now, !leaf && o.relayCount() > 0)
	anySource := false
	for _, s := range o.sessions {
		if s.lastMessageAt == 0 || now-s.lastMessageAt > staleAfter {
			continue
		}
		if !s.storeLost && !tooOld {
			o.noSourceSince, o.sourceWait = 0, noSourceWait
			return false
		}
		anySource = true
	}
	if tooOld && (!leaf || !anySource) {
		return true
	}
	if o.noSourceSince == 0 {
		o.noSourceSince = now
	}
	withoutSource := now - o.noSourceSince
	return withoutSource >= o.sourceWait && (!anySource || withoutSource >= o.storeLostDelay(hosts))
}

// storeLostDelay returns how long this host waits while all its sources have
// lost the store. hosts are the reachable ones by rank.
func (o *Overlay) storeLostDelay(hosts []Host) clock.Millis {
	relays := o.relayCount()
	if relays == 0 {
		return storeLostWait // all other hosts have only the first ones as sources
	}
	wait := storeLostWait
	own := slices.IndexFunc(hosts, func(h Host) bool { return h.ID == o.Self.ID })
	for hostsTrying := SourceCount + relays; hostsTrying <= own; hostsTrying *= 2 {
		wait += storeLostWaitStep
	}
	return wait
}

// Start begins the wait for a first source. Without one, the host follows the
// store itself after sourceWait.
func (o *Overlay) Start(now, sourceWait clock.Millis) {
	o.init()
	o.noSourceSince, o.sourceWait = now, sourceWait
	o.ageFrom = now + sourceWait
}

// HandleHostList sets how long this host waits for a first source, now that it has read
// the registered hosts from the store. It is called once after Start.
func (o *Overlay) HandleHostList(now clock.Millis) {
	if o.noSourceSince == 0 {
		return // a source has been found already
	}
	waited := now - o.noSourceSince
	if o.relayCount() > 0 {
		o.sourceWait = waited + tieredStartWait
	} else {
		o.sourceWait = max(waited, flatStartWait)
	}
}

// StoreLost reports whether this host has sources that have sent a message, and
// all of them have lost the store.
func (o *Overlay) StoreLost() bool {
	anySource := false
	for _, s := range o.sessions {
		if s.lastMessageAt > 0 && !s.storeLost {
			return false
		}
		anySource = anySource || s.lastMessageAt > 0
	}
	return anySource
}

// Package roster decides which hosts follow the platform's store for all others,
// which of them a host listens to, and which hosts callers may be sent to. It is
// plain state without goroutines, sockets or wall clock.
//
// All hosts order each other in the same way. Each listens to the first few of
// that order that it reaches, and a host follows the store when it is among them,
// when somebody listens to it, or when it hears nobody. So the calls to the store
// grow with the changes and not with the hosts, and nothing has to be agreed.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/member"
)

// Host is a host as others see it.
type Host struct {
	ID               string
	Incarnation      uint64 // random, new at each start
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	Ready            bool // takes callers
}

const (
	// Listened is how many hosts a host listens to: enough that two of them may
	// be cut off at the same moment.
	Listened = 3
	// HeartbeatEvery is how often both ends of a session say that they live.
	HeartbeatEvery = 400 * clock.Millisecond
	// SilentAfter is the silence after which a session is given up: three
	// heartbeats, which leaves time to read the store within two seconds.
	SilentAfter = 1200 * clock.Millisecond
	// avoidFor is how long a host that could not be reached is passed over.
	avoidFor = 3 * clock.Second
	// leastAddresses is how many addresses callers get from their own availability
	// zone before those of others are added.
	leastAddresses = 2
	// lostPatience is how long a host waits while all whom it hears have lost the
	// store, before it tries the store itself.
	lostPatience = 500 * clock.Millisecond
)

// Roster is what one host knows of the others. Set the exported fields before
// use. Not safe for concurrent use.
type Roster struct {
	Self Host

	known    map[string]*known
	sessions map[string]*session
	heard    map[string]map[string]Host // by the host that tells, then by id
	served   map[string]Host            // hosts that listen to this one
	count    int                        // hosts that others know
	ordered  []Host                     // all hosts in their order; nil when it has to be made anew
	lostAt   clock.Millis               // since when all who are heard have lost the store; 0 for not
}

// known is a host that may be listened to.
type known struct {
	Host
	avoidUntil clock.Millis
}

// session is a connection to a host that is listened to.
type session struct {
	heard bool // it has sent its tables
	lost  bool // it can't read the store
}

// Learn takes in hosts from the platform's store or from other hosts.
func (r *Roster) Learn(hosts []Host) {
	r.init()
	for _, h := range hosts {
		if h.ID == r.Self.ID || h.PeerAddress == "" {
			continue
		}
		if k := r.known[h.ID]; k != nil {
			k.Host = h
			continue
		}
		r.known[h.ID] = &known{Host: h}
		r.ordered = nil
	}
}

func (r *Roster) init() {
	if r.known != nil {
		return
	}
	r.known = map[string]*known{}
	r.sessions = map[string]*session{}
	r.heard = map[string]map[string]Host{}
	r.served = map[string]Host{}
}

// Size returns how many hosts there are, this one included.
func (r *Roster) Size() int { return max(1+len(r.known), r.count) }

// orderKey makes the order of all hosts the same on each of them.
const orderKey = "watchers"

// order returns all hosts, first those that follow the store for the others. The
// first few are in different availability zones as far as there are enough.
func (r *Roster) order() []Host {
	if r.ordered != nil {
		return r.ordered
	}
	all := []Host{r.Self}
	for _, k := range r.known {
		all = append(all, k.Host)
	}
	rank := func(h Host) uint64 { return member.Rendezvous(orderKey, h.ID) }
	slices.SortFunc(all, func(a, b Host) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
	seen := map[string]int{}
	turn := map[string]int{} // which of its zone a host is
	for _, h := range all {
		turn[h.ID] = seen[h.AvailabilityZone]
		seen[h.AvailabilityZone]++
	}
	slices.SortStableFunc(all, func(a, b Host) int { return cmp.Compare(turn[a.ID], turn[b.ID]) })
	r.ordered = all
	return all
}

// Targets returns the hosts to listen to now.
func (r *Roster) Targets(now clock.Millis) (targets []Host) {
	r.init()
	want := Listened
	for _, h := range r.order() {
		if len(targets) >= want {
			break
		}
		if h.ID == r.Self.ID {
			want-- // its own turn: it has the store itself
			continue
		}
		if now >= r.known[h.ID].avoidUntil {
			targets = append(targets, h)
		}
	}
	return targets
}

// Opened takes in that a session began with a host.
func (r *Roster) Opened(id string) {
	r.init()
	r.sessions[id] = &session{}
	r.heard[id] = map[string]Host{}
}

// Heard takes in a message of a host that is listened to: whether it has lost the
// store, how many hosts it knows, hosts that changed, and ids of those that went.
func (r *Roster) Heard(id string, lost bool, count int, hosts []Host, gone []string) {
	s := r.sessions[id]
	if s == nil {
		return
	}
	s.heard = true
	s.lost = lost
	r.count = max(r.count, count)
	for _, h := range hosts {
		r.heard[id][h.ID] = h
	}
	for _, g := range gone {
		delete(r.heard[id], g)
	}
	r.Learn(hosts)
}

// Closed takes in that a session ended or never began.
func (r *Roster) Closed(now clock.Millis, id string) {
	r.init()
	delete(r.sessions, id)
	delete(r.heard, id)
	if k := r.known[id]; k != nil {
		k.avoidUntil = now + avoidFor
	}
}

// Serves takes in that a host listens to this one, with what it says of itself.
func (r *Roster) Serves(h Host) {
	r.init()
	r.served[h.ID] = h
	r.Learn([]Host{h})
}

// Left takes in that a host no longer listens to this one.
func (r *Roster) Left(id string) {
	r.init()
	delete(r.served, id)
}

// Served returns the hosts that listen to this one.
func (r *Roster) Served() (hosts []Host) {
	for _, h := range r.served {
		hosts = append(hosts, h)
	}
	return hosts
}

// Follows tells whether this host has to follow the store itself.
func (r *Roster) Follows(now clock.Millis) bool {
	r.init()
	if len(r.served) > 0 || r.isFirst() {
		return true
	}
	heard := false
	for _, s := range r.sessions {
		if s.heard && !s.lost {
			r.lostAt = 0
			return false
		}
		heard = heard || s.heard
	}
	if !heard {
		return true
	}
	if r.lostAt == 0 {
		r.lostAt = now
	}
	return now-r.lostAt >= lostPatience
}

// isFirst tells whether this host is one of those that the others listen to.
func (r *Roster) isFirst() bool {
	order := r.order()
	return slices.ContainsFunc(order[:min(len(order), Listened)], func(h Host) bool { return h.ID == r.Self.ID })
}

// StoreLost tells whether all hosts that are heard have lost the store.
func (r *Roster) StoreLost() bool {
	heard := false
	for _, s := range r.sessions {
		if s.heard && !s.lost {
			return false
		}
		heard = heard || s.heard
	}
	return heard
}

// Callers returns the addresses for callers of an availability zone: this host,
// if it is ready, and others that live, those of the zone first.
func (r *Roster) Callers(zone string, most int, rnd *rand.Rand) (addresses []string) {
	near, far := []string{}, []string{}
	for id, h := range r.alive() {
		switch {
		case !h.Ready || id == r.Self.ID:
		case h.AvailabilityZone == zone:
			near = append(near, h.CallerAddress)
		default:
			far = append(far, h.CallerAddress)
		}
	}
	if r.Self.Ready {
		addresses = append(addresses, r.Self.CallerAddress)
	}
	shuffled := func(list []string) []string {
		slices.Sort(list)
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list
	}
	addresses = append(addresses, shuffled(near)...)
	if len(addresses) < leastAddresses {
		addresses = append(addresses, shuffled(far)...)
	}
	return addresses[:min(most, len(addresses))]
}

// alive returns the hosts that this one or one that it listens to hears.
func (r *Roster) alive() map[string]Host {
	out := map[string]Host{}
	for _, hosts := range r.heard {
		for id, h := range hosts {
			out[id] = h
		}
	}
	for id, h := range r.served {
		out[id] = h
	}
	return out
}

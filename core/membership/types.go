// Package membership keeps one host's view of the fleet: which hosts are alive,
// which of them owns each upstream, and whether this host may use an upstream
// at a given moment. It is a deterministic state machine: it starts no
// goroutines, opens no sockets and reads no wall clock.
//
// The hosts agree on a single row in the platform's table service, the
// assignment. docs/design-ownership.md gives the rules and the reasons why they
// are safe.
package membership

import "siskinpath/core/clock"

// Incarnation is a random number that a host process draws when it starts.
type Incarnation uint64

// Host is a host as it describes itself to others.
type Host struct {
	ID               string      `json:"id"`
	Incarnation      Incarnation `json:"incarnation"`
	AvailabilityZone string      `json:"availability_zone"`
	PeerAddress      string      `json:"peer_address"`
	CallerAddress    string      `json:"caller_address"`
	OperatorAddress  string      `json:"operator_address"`
}

// ListedHost is an entry of the platform's host list, which may be out of date.
type ListedHost struct {
	ID               string
	AvailabilityZone string
	PeerAddress      string
	CallerAddress    string
	OperatorAddress  string
	Leaving          bool
}

// Assignment is the row that the hosts agree on: the members and the owner of
// each upstream.
type Assignment struct {
	Epoch        uint64            `json:"-"` // version of the row in the table service
	TableVersion uint64            `json:"table_version"`
	Members      []Host            `json:"members"` // sorted by id
	Owners       map[string]string `json:"owners"`  // "service/upstream" to host id

	// Previous lists the members of the preceding epoch.
	Previous []HostRef `json:"previous,omitempty"`
	// Earlier lists members of older epochs that may not have learnt of their
	// removal.
	Earlier []HostRef `json:"earlier,omitempty"`
	// Moved maps the key of an upstream to the epoch in which its owner last
	// changed. An entry stays for as long as some host may not have learnt of
	// the change.
	Moved map[string]uint64 `json:"moved,omitempty"`
	// MembersChanged is the epoch in which the members last changed, which also
	// changes the order of succession. It is 0 once every host has learnt of
	// the change.
	MembersChanged uint64 `json:"changed,omitempty"`
}

// HostRef identifies one incarnation of a host.
type HostRef struct {
	ID          string      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// UpstreamKey returns the key of an upstream in Assignment.Owners.
func UpstreamKey(service, upstream string) string { return service + "/" + upstream }

// Heartbeat is the state that a host sends to another one, unprompted or in
// reply.
type Heartbeat struct {
	From         Host
	Sequence     uint64 // incremented at each heartbeat interval of the sender
	Epoch        uint64 // newest epoch that the sender reports to know
	TableVersion uint64 // version of the table that the sender has in force
	KeyWindow    uint32 // the sender's current window for idempotency keys
	Leaving      bool
	PlatformAge  clock.Millis // age of the sender's last successful read of the platform; -1 when there was none
	// Gossip is the latest state of other hosts known to the sender. An entry
	// for the receiver marks a reply to the receiver's heartbeat of that
	// sequence.
	Gossip []GossipEntry
	Dead   []Death // some of the incarnations proven dead
}

// GossipEntry is the state of a host, passed on by another host.
type GossipEntry struct {
	Host         Host
	Sequence     uint64
	Epoch        uint64
	TableVersion uint64
	KeyWindow    uint32
	Leaving      bool
	Age          clock.Millis // upper bound of the time since the host sent this, over all hops
}

// Death identifies a host process that has certainly ended: its port refuses
// connections, or another incarnation runs in its place.
type Death struct {
	ID          string
	Incarnation Incarnation
}

// Right is this host's permission to use one upstream.
type Right struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Full     bool   `json:"full"` // the full limits of the upstream and health probes; otherwise one slot and no probes
}

// Presence is whether an incarnation is alive, as far as this host knows.
type Presence int

// Values of Presence.
const (
	NeverSeen   Presence = iota // never seen
	Present                     // seen within the heartbeat timeout
	Unreachable                 // seen before, but not within the heartbeat timeout
	Gone                        // proven dead or replaced by another incarnation
)

// ActionKind is the kind of an Action.
type ActionKind int

// Values of ActionKind.
const (
	SendHeartbeat   ActionKind = iota // send Heartbeat to Host
	WriteAssignment                   // replace the row of epoch Assignment.Epoch by Assignment, then call HandleWriteResult
	RightsChanged                     // call Rights again
	Dial                              // connect to Host unless a connection is open
	FetchUpdates                      // fetch the newer table or assignment from Host
)

// Action is an operation that the driver of a View must carry out.
type Action struct {
	Kind         ActionKind
	Host         Host
	Heartbeat    Heartbeat
	Assignment   Assignment
	TableVersion uint64 // FetchUpdates: the version that Host has
	Epoch        uint64 // FetchUpdates: the epoch that Host has
}

// HostStatus is the status of one host, as known to this one, for the state dump.
type HostStatus struct {
	ID               string       `json:"id"`
	Incarnation      Incarnation  `json:"incarnation"`
	AvailabilityZone string       `json:"availability_zone"`
	PeerAddress      string       `json:"peer_address"`
	CallerAddress    string       `json:"caller_address"`
	OperatorAddress  string       `json:"operator_address"`
	Presence         string       `json:"presence"`
	Member           bool         `json:"member"`
	Listed           bool         `json:"listed"`
	Leaving          bool         `json:"leaving"`
	Epoch            uint64       `json:"epoch"`
	TableVersion     uint64       `json:"table_version"`
	KeyWindow        uint32       `json:"key_window"`
	LastSeenAge      clock.Millis `json:"heard_age_ms"`    // time since the host sent its newest state, at most; -1 when it was never seen
	PlatformAge      clock.Millis `json:"platform_age_ms"` // -1 when it has not read the platform or not reported a read
}

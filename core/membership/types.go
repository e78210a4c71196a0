// Package membership decides which hosts are there, which of them owns which
// upstream, and whether this host may use an upstream right now. It is a plain
// state machine without goroutines, sockets or wall clock.
//
// What is agreed between hosts is one row, the assignment, in the platform's
// table service. See docs/design-ownership.md for the rules and why they hold.
package membership

import "siskinpath/core/clock"

// Incarnation is a random number drawn at each start of a host process.
type Incarnation uint64

// Host is a host as it describes itself.
type Host struct {
	ID               string      `json:"id"`
	Incarnation      Incarnation `json:"incarnation"`
	AvailabilityZone string      `json:"availability_zone"`
	PeerAddress      string      `json:"peer_address"`
	CallerAddress    string      `json:"caller_address"`
	OperatorAddress  string      `json:"operator_address"`
}

// ListedHost is a host as the platform lists it. The list lags.
type ListedHost struct {
	ID               string
	AvailabilityZone string
	PeerAddress      string
	CallerAddress    string
	OperatorAddress  string
	Leaving          bool
}

// Assignment is the agreed row: the members and who owns which upstream.
type Assignment struct {
	Epoch        uint64            `json:"-"` // version of the row in the table service
	TableVersion uint64            `json:"table_version"`
	Members      []Host            `json:"members"` // sorted by id
	Owners       map[string]string `json:"owners"`  // "service/upstream" to host id

	// Previous are the members of the epoch before this one.
	Previous []HostRef `json:"previous,omitempty"`
	// Earlier are members of older epochs that may not know of their removal.
	Earlier []HostRef `json:"earlier,omitempty"`
	// Moved gives the epoch in which an upstream last changed hands, as long
	// as some host may not know of it.
	Moved map[string]uint64 `json:"moved,omitempty"`
	// MembersChanged is the epoch in which the members last changed, as long as some
	// host may not know of it: the order of succession follows from them.
	MembersChanged uint64 `json:"changed,omitempty"`
}

// HostRef names one incarnation of a host.
type HostRef struct {
	ID          string      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// UpstreamKey is the key of an upstream in Assignment.Owners.
func UpstreamKey(service, upstream string) string { return service + "/" + upstream }

// Heartbeat is what a host tells another one at each turn.
type Heartbeat struct {
	From         Host
	Sequence     uint64 // rises with each turn of the sender
	Epoch        uint64 // newest assignment the sender knows
	TableVersion uint64 // newest table the sender has in force
	KeyWindow    uint32 // the sender's current window for idempotency keys
	Leaving      bool
	PlatformAge  clock.Millis  // age of the sender's last good read of the platform; -1 when none
	Gossip       []GossipEntry // what the sender last heard of others; an entry for the receiver makes it a reply to the heartbeat of that sequence
	Dead         []Death       // incarnations proven dead
}

// GossipEntry is second-hand news of a host.
type GossipEntry struct {
	Host         Host
	Sequence     uint64
	Epoch        uint64
	TableVersion uint64
	KeyWindow    uint32
	Leaving      bool
	Age          clock.Millis // since the sender heard it, at first or second hand
}

// Death says that a process has ended for certain: its port refuses
// connections, or another incarnation runs in its place.
type Death struct {
	ID          string
	Incarnation Incarnation
}

// Right is what this host may do with one upstream.
type Right struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Full     bool   `json:"full"` // the whole of its limits, and probing; otherwise one slot and no probing
}

// Presence is what is known of an incarnation.
type Presence int

// Presences.
const (
	NeverSeen   Presence = iota // never met
	Present                     // heard lately
	Unreachable                 // met, but not heard lately
	Gone                        // proven dead or replaced
)

// ActionKind says what an Action asks for.
type ActionKind int

// Kinds of Action.
const (
	SendHeartbeat   ActionKind = iota // send Heartbeat to Host
	WriteAssignment                   // write Assignment over the epoch it carries; WriteFinished follows
	RightsChanged                     // read Rights again
	Dial                              // open a link to Host when there is none
	FetchUpdates                      // Host has a newer table or assignment: ask it
)

// Action is something the driver of a View must do.
type Action struct {
	Kind         ActionKind
	Host         Host
	Heartbeat    Heartbeat
	Assignment   Assignment
	TableVersion uint64 // the version Host has; for FetchNewer
	Epoch        uint64 // the epoch Host has; for FetchNewer
}

// HostStatus is what this host knows of one host.
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
	HeardAge         clock.Millis `json:"heard_age_ms"`    // -1 when never
	PlatformAge      clock.Millis `json:"platform_age_ms"` // -1 when it never read the platform or hasn't said so
}

package membership

import (
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/table"
)

// Defaults of the settings of a View.
const (
	DefaultHeartbeatInterval = 250 * clock.Millisecond
	DefaultHeartbeatTimeout  = 3 * clock.Second
	DefaultPlatformReadTTL   = 3 * clock.Second
	DefaultSettleDelay       = 4 * clock.Second
	DefaultRemoveAfter       = 4 * clock.Second
	DefaultDeadAfter         = 60 * clock.Second
	DefaultFanout            = 3
	DefaultMaxGossip         = 4
)

// View is one host's view of the fleet. Set the exported fields before the
// first event; a setting of 0 means its default. A View is not safe for
// concurrent use.
type View struct {
	Self Host
	Rand *rand.Rand

	HeartbeatInterval clock.Millis // between two rounds of heartbeats
	HeartbeatTimeout  clock.Millis // state received from a host counts as current for this time
	PlatformReadTTL   clock.Millis // a read of the platform proves for this time that no newer epoch has settled
	SettleDelay       clock.Millis // between an epoch having settled and the use of what moved in it; above HeartbeatTimeout and PlatformReadTTL
	RemoveAfter       clock.Millis // a member not seen for this time is removed from the assignment
	DeadAfter         clock.Millis // a host neither listed by the platform nor seen for this time counts as dead
	HandoverTimeout   clock.Millis // maximum delay of the report of an epoch
	DelayReports      bool         // delay the report of an epoch until MarkDrained
	Fanout            int          // heartbeats sent per interval, replies not counted
	MaxGossip         int          // gossip entries in a reply

	initialised    bool
	started        clock.Millis
	lastEvent      clock.Millis // time of the last event
	resumedAt      clock.Millis // end of the last pause of this process, or its start
	nextHeartbeats clock.Millis
	sequence       uint64
	sentAt         [256]clock.Millis // when sequence n was sent, at n%256
	leaving        bool
	listedLeaving  bool // the platform lists this host as leaving
	fetchedAt      clock.Millis
	keyWindow      uint32
	table          *table.Table

	peers       map[string]*peer
	rotation    []string // ids in the order in which heartbeats are sent
	nextPeer    int
	deathCursor int // position of the rotation in which deaths are sent
	dead        map[HostRef]bool
	unlisted    map[HostRef]clock.Millis // since when an incarnation named by the assignment has been missing from the host list
	deaths      []HostRef                // in order of discovery, at most maxDeaths

	current      Assignment
	incarnations []HostRef          // every incarnation named by current, sorted
	reported     map[HostRef]uint64 // newest epoch that each incarnation has reported
	settled      []settledEpoch
	platformAt   clock.Millis // start of the last successful read that was not older than current
	platformSeen bool

	ownKeys        []string           // keys held by this host, sorted
	holders        map[string]HostRef // the holder of each key
	holdersDirty   bool
	adoptedAt      clock.Millis // when current was adopted
	drainedEpoch   uint64       // newest epoch passed to MarkDrained
	lastReported   uint64       // newest epoch reported to others
	orphans        orphanCache
	orphanKeys     []string        // keys that this host may use at the reduced share because their holder is lost, sorted
	acquired       map[string]bool // own keys to which this host has full rights while freshUntil is in the future
	acquireAfter   clock.Millis    // no right to a key is acquired before this time
	suspendedUntil clock.Millis    // after a pause, full rights are suspended until this time
	freshUntil     clock.Millis    // full rights end at this time without further proof; see freshness
	lastRights     []Right

	writing       bool
	proposed      Assignment
	planned       planInputs
	proposalSince clock.Millis
	proposalDelay clock.Millis
	nextWrite     clock.Millis
}

// settledEpoch records when an epoch was first seen to have settled; see
// isSettled.
type settledEpoch struct {
	epoch uint64
	at    clock.Millis
}

func (v *View) init(now clock.Millis) {
	if v.initialised {
		return
	}
	v.initialised = true
	setDefault(&v.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&v.HeartbeatTimeout, DefaultHeartbeatTimeout)
	setDefault(&v.PlatformReadTTL, DefaultPlatformReadTTL)
	setDefault(&v.SettleDelay, DefaultSettleDelay)
	setDefault(&v.RemoveAfter, DefaultRemoveAfter)
	setDefault(&v.DeadAfter, DefaultDeadAfter)
	setDefault(&v.HandoverTimeout, DefaultHandoverTimeout)
	setDefault(&v.Fanout, DefaultFanout)
	setDefault(&v.MaxGossip, DefaultMaxGossip)
	if v.Rand == nil {
		v.Rand = rand.New(rand.NewPCG(uint64(v.Self.Incarnation), 0))
	}
	v.peers = map[string]*peer{}
	v.unlisted = map[HostRef]clock.Millis{}
	v.dead = map[HostRef]bool{}
	v.reported = map[HostRef]uint64{}
	v.acquired = map[string]bool{}
	v.started = now
	v.lastEvent = now
	v.resumedAt = now
	v.nextHeartbeats = now
}

func setDefault[T clock.Millis | int](p *T, value T) {
	if *p == 0 {
		*p = value
	}
}

// beginEvent starts the handling of every event. After a pause longer than any
// right lasts, no right is acquired again for one heartbeat interval, so that
// the driver notices the loss.
func (v *View) beginEvent(now clock.Millis) {
	v.init(now)
	if now-v.lastEvent > min(v.HeartbeatTimeout, v.PlatformReadTTL) {
		v.suspendedUntil = now + v.HeartbeatInterval
		v.resumedAt = now
	}
	v.lastEvent = max(v.lastEvent, now)
}

// endEvent finishes the handling of every event: it recomputes the rights and
// reports a change.
func (v *View) endEvent(now clock.Millis, actions []Action) []Action {
	v.updateRights(now)
	rights := v.Rights(now)
	if !sameRights(rights, v.lastRights) {
		v.lastRights = rights
		actions = append(actions, Action{Kind: RightsChanged})
	}
	return actions
}

// SetTable sets the table that this host has in force; an older one is ignored.
func (v *View) SetTable(now clock.Millis, t *table.Table) []Action {
	v.beginEvent(now)
	if v.table == nil || t.Version > v.table.Version {
		v.table = t
	}
	return v.endEvent(now, nil)
}

// isLeaving reports whether this host hands over what it owns, because
// SetLeaving was called or because the platform lists it as leaving.
func (v *View) isLeaving() bool { return v.leaving || v.listedLeaving }

// SetLeaving makes this host hand over the upstreams that it owns.
func (v *View) SetLeaving(now clock.Millis) []Action {
	v.beginEvent(now)
	v.leaving = true
	return v.endEvent(now, nil)
}

// SetKeyWindow sets the window for idempotency keys that heartbeats carry.
func (v *View) SetKeyWindow(w uint32) { v.keyWindow = w }

// NextTick returns the time at which Tick is next due.
func (v *View) NextTick() clock.Millis { return v.nextHeartbeats }

// Tick sends the heartbeats that are due and proposes an assignment when one is
// due.
func (v *View) Tick(now clock.Millis) []Action {
	v.beginEvent(now)
	var actions []Action
	if now >= v.nextHeartbeats {
		v.nextHeartbeats = now + v.HeartbeatInterval
		actions = v.sendHeartbeats(now)
	}
	v.evictPeers(now)
	v.updateRights(now)
	actions = append(actions, v.propose(now)...)
	return v.endEvent(now, actions)
}

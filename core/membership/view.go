package membership

import (
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/table"
)

// Defaults of a View's spans and counts.
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

// View is what one host knows of the fleet. Set the exported fields before the
// first event; zero spans and counts mean their defaults. Not safe for
// concurrent use.
type View struct {
	Self Host
	Rand *rand.Rand

	HeartbeatInterval clock.Millis // between two turns of heartbeats
	HeartbeatTimeout  clock.Millis // news of a host is good for so long
	PlatformReadTTL   clock.Millis // a read of the platform is good for so long
	SettleDelay       clock.Millis // from half of the former members knowing an epoch to taking what moved in it; above HearFor and FenceAfter
	RemoveAfter       clock.Millis // a member not heard for so long is removed
	DeadAfter         clock.Millis // who is neither listed nor heard for so long counts as dead
	HandoverTimeout   clock.Millis // reports of an epoch are kept back so long at most
	DelayReports      bool         // reports of an epoch wait for Released
	Fanout            int          // heartbeats a turn, replies not counted
	MaxGossip         int          // second-hand entries in a reply

	ready         bool
	started       clock.Millis
	lastEvent     clock.Millis // last event
	resumedAt     clock.Millis // end of the last pause, or the start
	nextTurn      clock.Millis
	sequence      uint64
	sentAt        [256]clock.Millis // when turn n%256 went out
	leaving       bool
	listedLeaving bool // by the platform, for now
	fetchedAt     clock.Millis
	keyWindow     uint32
	table         *table.Table

	peers       map[string]*peer
	rotation    []string // ids in rotation
	nextPeer    int
	deathCursor int // rotation of deaths
	dead        map[HostRef]bool
	unlisted    map[HostRef]clock.Millis // since when the list lacks an incarnation that the assignment names
	deaths      []HostRef                // in order of discovery, bounded

	current      Assignment
	incarnations []HostRef          // every incarnation that current names, sorted
	reported     map[HostRef]uint64 // newest epoch each incarnation has reported
	settled      []settledEpoch
	platformAt   clock.Millis // start of the last good read that knew of nothing newer than we do
	platformSeen bool

	ownKeys        []string           // keys whose holder this host is, sorted
	holders        map[string]HostRef // the holder of each key
	holdersDirty   bool
	adoptedAt      clock.Millis
	released       uint64 // newest epoch to which Released was called
	lastReported   uint64 // newest epoch told to others
	orphans        orphanCache
	orphanKeys     []string // keys of which this host has the cut share for want of their holder, sorted
	acquired       map[string]bool
	acquireAfter   clock.Millis
	suspendedUntil clock.Millis
	freshUntil     clock.Millis
	lastRights     []Right

	writing       bool
	proposed      Assignment
	planned       planInputs
	proposalSince clock.Millis
	proposalDelay clock.Millis
	nextWrite     clock.Millis
}

// settledEpoch says when half of the former members were first seen to know an epoch.
type settledEpoch struct {
	epoch uint64
	at    clock.Millis
}

func (v *View) init(now clock.Millis) {
	if v.ready {
		return
	}
	v.ready = true
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
	v.nextTurn = now
}

func setDefault[T clock.Millis | int](p *T, value T) {
	if *p == 0 {
		*p = value
	}
}

// beginEvent begins every event. After a pause longer than any right lasts, nothing
// is taken up again for one turn, so that the driver sees the loss.
func (v *View) beginEvent(now clock.Millis) {
	v.init(now)
	if now-v.lastEvent > min(v.HeartbeatTimeout, v.PlatformReadTTL) {
		v.suspendedUntil = now + v.HeartbeatInterval
		v.resumedAt = now
	}
	v.lastEvent = max(v.lastEvent, now)
}

// endEvent ends every event: it works out the rights again and tells of a change.
func (v *View) endEvent(now clock.Millis, actions []Action) []Action {
	v.updateRights(now)
	rights := v.Rights(now)
	if !sameRights(rights, v.lastRights) {
		v.lastRights = rights
		actions = append(actions, Action{Kind: RightsChanged})
	}
	return actions
}

// SetTable tells the view which table this host has in force.
func (v *View) SetTable(now clock.Millis, t *table.Table) []Action {
	v.beginEvent(now)
	if v.table == nil || t.Version > v.table.Version {
		v.table = t
	}
	return v.endEvent(now, nil)
}

// isLeaving says whether this host hands over what it owns: it has been told to,
// or the platform lists it as leaving.
func (v *View) isLeaving() bool { return v.leaving || v.listedLeaving }

// SetLeaving makes this host hand over what it owns.
func (v *View) SetLeaving(now clock.Millis) []Action {
	v.beginEvent(now)
	v.leaving = true
	return v.endEvent(now, nil)
}

// SetKeyWindow sets the window for idempotency keys that heartbeats carry.
func (v *View) SetKeyWindow(w uint32) { v.keyWindow = w }

// NextTick returns when Tick is next due.
func (v *View) NextTick() clock.Millis { return v.nextTurn }

// Tick sends the heartbeats of a turn and proposes an assignment when one is due.
func (v *View) Tick(now clock.Millis) []Action {
	v.beginEvent(now)
	var actions []Action
	if now >= v.nextTurn {
		v.nextTurn = now + v.HeartbeatInterval
		actions = v.sendHeartbeats(now)
	}
	v.evictPeers(now)
	v.updateRights(now)
	actions = append(actions, v.propose(now)...)
	return v.endEvent(now, actions)
}

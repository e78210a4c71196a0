// Package place decides, for one service on a host that shares its upstreams
// with all other hosts, which upstream runs which request and when. It is meant
// for upstreams whose load changes many times a second: just before a request is
// sent, candidate upstreams are probed for their load, so that the decision uses
// load reports that are only milliseconds old. Requests for which no upstream has
// room are queued by priority for a limited time and then refused.
//
// It is a state machine: the caller passes events with the current time and carries
// out the actions returned. It uses no goroutine, socket or wall clock.
package place

import (
	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Upstream is an upstream as listed by service discovery.
type Upstream struct {
	ID               string
	AvailabilityZone string
	Started          int64        // tells two starts under one ID apart
	Slots            int          // requests it runs concurrently
	ColdUntil        clock.Millis // until when it is slow after its start
	Leaving          bool         // takes no new work
	// ColdLimited is set if the number of its requests is limited while it is cold. It
	// then gets only this host's share from this host: ColdPerSecond requests a second and
	// ColdBurst at once, both 0 for none.
	ColdLimited   bool
	ColdPerSecond float64
	ColdBurst     float64
}

// Config is the configuration of a Placer, replaced as a whole by Configure.
type Config struct {
	AvailabilityZone string
	Upstreams        []Upstream
	// Hosts are other hosts that requests may be passed to.
	Hosts []Host
	// Host is this host's ID, and Allocators the IDs of the hosts that allocate the slots of
	// the service's upstreams, in the order in which they are asked. Empty for none: each
	// host then decides by itself. See slot.go.
	Host       string
	Allocators []string
	// AllocatorProbesPerSecond is added to ProbesPerSecond while this host allocates.
	AllocatorProbesPerSecond float64
	// ProbesPerSecond is this host's probe rate for each upstream. The sum over its
	// upstreams is one budget.
	ProbesPerSecond float64
	// LimitShare is this host's share of the limits that upstreams name for all hosts
	// together; 0 counts as 1.
	LimitShare float64
	// Overload enables the decisions for services that are often short of room: early
	// refusal, the rules for upstreams that shed, and the fair use of quotas.
	Overload bool
	// Evacuated is set if every upstream that would take requests is in an evacuated
	// availability zone. Requests are then refused at once.
	Evacuated bool
	// RepeatRatio limits retries and hedges to this share of the requests.
	RepeatRatio float64
	// RepeatBurst is the most retries and hedges that the budget accumulates.
	RepeatBurst float64
}

// Request is a request to dispatch to an upstream.
type Request struct {
	ID         route.RequestID
	CallerID   string       // the caller's own id of the request, for logs
	Route      string       // requests of one route take about the same service time
	Priority   int          // 0 is the most urgent
	Arrived    clock.Millis // when the caller's request was read
	Target     clock.Millis // time after Arrived within which an answer has its full value
	GiveUp     clock.Millis // latest time of its final answer
	Idempotent bool
	// CallerLeft is the time that the caller had left when the request arrived, 0 if that is
	// not known. GiveUp may come sooner.
	CallerLeft  clock.Millis
	MaxAttempts int // most upstreams that it may be sent to, at least 1
	// Forwarded is set if another host has passed it to this one. It is not passed on.
	Forwarded bool
	// OverUse is the share of its quota that the request's organisation has used in the
	// last seconds; 0 if that is not known or there is none.
	OverUse float64
	// CameBack is set if its caller was refused before and came back.
	CameBack bool
}

// Tuning holds the parameters of the dispatch decisions.
type Tuning struct {
	// ProbesPerRequest is how many upstreams are probed in a round before a send.
	ProbesPerRequest int
	// ProbeWait is how long a request waits for the answers to its probes.
	ProbeWait clock.Millis
	// MaxLoadAge is how long a load report makes another probe unnecessary.
	MaxLoadAge clock.Millis
	// FillLimit is the share of an upstream's slots that requests of normal priority
	// may occupy: a nearly full upstream slows down.
	FillLimit float64
	// UrgentFillLimit is FillLimit for priorities below FirstNormalPriority.
	UrgentFillLimit float64
	// FirstNormalPriority is the lowest priority value that does not count as urgent.
	FirstNormalPriority int
	// QueueWaitShare is the share of its target that a request may wait for room, or
	// for an upstream fast enough to meet the target.
	QueueWaitShare float64
	// UrgentQueueWaitShare is QueueWaitShare for priorities below FirstNormalPriority.
	UrgentQueueWaitShare float64
	// HedgeLeadTime is how long before its target a hedge of an idempotent request is
	// considered, as a multiple of the route's typical time.
	HedgeLeadTime float64
	// NoHedge, NoProbe, AcceptSlow, SendLate and those below disable a mechanism, for comparison runs.
	NoHedge    bool
	NoProbe    bool
	AcceptSlow bool // send to a slow upstream instead of waiting for a faster one
	SendLate   bool // send a request whose wait is over although it will be late and others wait
	// NoEarlyRefusal lets requests wait out their time however long the queue is.
	NoEarlyRefusal bool
	// NoShedRules ejects upstreams that shed as those that fail, and gives retries to the
	// first who ask.
	NoShedRules bool
	// NoAllocator lets each host decide by itself although there are allocators.
	NoAllocator bool
	// NoPatience makes requests wait at an allocator only as long as elsewhere.
	NoPatience bool
	// NoReturnOrder treats callers that have come back too late like others.
	NoReturnOrder bool
	// NoPromptReturn gives the callers that an upstream with room has refused the usual delay.
	NoPromptReturn bool
	// NoDoubt refuses a request at once if no upstream has answered its probe in time.
	NoDoubt bool
	// NoFairUse treats requests alike whatever their organisation uses of its quota.
	NoFairUse bool
}

// DefaultTuning returns the default parameters. See docs/MEASUREMENTS.md for the
// comparison runs.
func DefaultTuning() Tuning {
	return Tuning{
		ProbesPerRequest:     3,
		ProbeWait:            12 * clock.Millisecond,
		MaxLoadAge:           8 * clock.Millisecond,
		FillLimit:            0.8,
		UrgentFillLimit:      1,
		FirstNormalPriority:  2,
		QueueWaitShare:       0.3,
		UrgentQueueWaitShare: 0.45,
		HedgeLeadTime:        1.2,
	}
}

// Action is a step that the caller of a Placer must carry out.
type Action struct {
	route.Action
	Sent    SendDetail    // with route.Send: the data behind the choice
	Forward ForwardDetail // with route.Forward
	Refusal RefusalDetail // with route.Refuse: the state that led to it
	Slot    SlotMessage   // with route.SlotMessage
}

// RefusalDetail is the state of the Placer when it refused a request.
type RefusalDetail struct {
	Waited    clock.Millis // since the request arrived
	Probed    int          // upstreams probed in the last rounds
	Upstreams int          // upstreams that this host uses
	Usable    int          // upstreams that the request might be sent to
	Cold      int          // upstreams that would be usable if they had warmed up
	WithRoom  int          // usable upstreams with room, by the latest load reports
	Queued    int          // requests queued on the host that decided
	Allocator string       // the host that decided; "" for this one
	// OutOfReach is set if this host reaches no upstream, so that another one may.
	OutOfReach bool
}

// SendDetail is the state of an upstream when a request was sent to it.
type SendDetail struct {
	At       clock.Millis // when it was sent
	Waited   clock.Millis // since the request arrived
	Probed   int          // upstreams probed for the request
	Reported bool         // the upstream has reported its load
	Age      clock.Millis // of its report
	Load     int          // requests running or queued there
	Slots    int
	Started  int64 // see Upstream.Started
	Slowdown float64
	Attempt  int // 1 for the first attempt of the request
	Hedge    bool
	// Allocator is the host that granted the slot; "" if this host has decided by itself.
	Allocator string
	// Limited is set if the upstream's requests are limited while it is cold, and Cold if
	// it is cold.
	Limited, Cold bool
}

// States besides those of an upstream that is out of use.
const (
	StateLimited = "limited" // an upstream has named a limit, or no longer does
	StateCutOff  = "cut_off" // this host reaches no upstream, or does again
	StateCold    = "cold"    // an upstream has to warm up
)

// StateChange records that a Placer has taken an upstream out of use, that the limit that
// an upstream names has changed, that an upstream has become cold, or that this host is cut
// off from all upstreams.
type StateChange struct {
	Upstream string       // "" with StateCutOff
	State    string       // "ejected", "unreachable", "replaced", "draining", "leaving", "back_pressure", StateLimited, StateCold or StateCutOff
	For      clock.Millis // 0 for the rest of the upstream's life; with StateCold: until it has warmed up
	Failures int          // consecutive
	Success  float64      // success rate, 0 to 1
	// PerSecond is the limit, 0 when there is none any more. Set with StateLimited, and
	// with StateCold to this host's share of the limit while the upstream is cold.
	PerSecond float64
	Burst     float64 // with StateCold: what PerSecond allows at once
	Share     float64 // this host's share of the limit
	CutOff    bool    // with StateCutOff
	CallerID  string  // of the request whose reply caused the change; "" for a probe, and for other changes
}

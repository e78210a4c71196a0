// Package place decides, for one service on a host that shares its upstreams
// with all other hosts, which upstream runs which request and when. It is meant
// for upstreams whose load shifts many times a second: just before a request is
// sent, the likely upstreams are asked for their load, so that the decision
// rests on what was true milliseconds ago. Requests that find no room wait a
// little, by priority, and are then refused.
//
// It is a plain state machine: events go in with the current time, actions come
// out. It has no goroutine, socket or wall clock.
package place

import (
	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Upstream is an upstream as discovery describes it.
type Upstream struct {
	ID               string
	AvailabilityZone string
	Slots            int          // requests it runs at a time
	ColdUntil        clock.Millis // point in time until which it is slow after its start
	Leaving          bool         // takes no new work
}

// Config is what a Placer works with until the next Config.
type Config struct {
	AvailabilityZone string
	Upstreams        []Upstream
	// ProbesPerSecond is what this host may spend on each upstream.
	ProbesPerSecond float64
	// RepeatRatio is how many sends beyond the first of each request are
	// allowed, as a share of the requests.
	RepeatRatio float64
	// RepeatBurst is how many of them this host may save up.
	RepeatBurst float64
}

// Request is a request that wants an upstream.
type Request struct {
	ID          route.RequestID
	Route       string       // requests of one route need about the same work
	Priority    int          // 0 is the most urgent
	Arrived     clock.Millis // when the caller's request was read
	Target      clock.Millis // time after Arrived within which an answer has its full value
	GiveUp      clock.Millis // point in time at which it gets its final answer at the latest
	Idempotent  bool
	MaxAttempts int // upstreams that it may be sent to, at least 1
}

// Tuning are the figures that the decisions rest on.
type Tuning struct {
	// ProbesPerRequest is how many upstreams are asked for their load before a send.
	ProbesPerRequest int
	// ProbeWait is how long a request waits for the answers.
	ProbeWait clock.Millis
	// MaxLoadAge is how long a load counts as known.
	MaxLoadAge clock.Millis
	// FillLimit is the share of an upstream's slots up to which less urgent requests
	// fill it: an upstream that is nearly full works more slowly.
	FillLimit float64
	// UrgentFillLimit is the same for requests of the priorities below Ordinary.
	UrgentFillLimit float64
	// FirstNormalPriority is the first priority that counts as less urgent.
	FirstNormalPriority int
	// QueueWaitShare is the share of its target for which a request waits for room, or
	// for an upstream that is not too slow for it.
	QueueWaitShare float64
	// UrgentQueueWaitShare is the same for the priorities below Ordinary.
	UrgentQueueWaitShare float64
	// HedgeLeadTime is how many usual times before its target it is looked whether an
	// idempotent request needs a second upstream.
	HedgeLeadTime float64
	// NoHedge, NoAsk and TakeSlow take a mechanism out, for comparison.
	NoHedge    bool
	NoProbe    bool
	AcceptSlow bool // does not wait for a faster upstream
}

// DefaultTuning returns the figures in use. docs/MEASUREMENTS.md has the runs.
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

// Action is something the driver of a Placer must do.
type Action struct {
	route.Action
	Sent    SendDetail    // with route.Send: what the choice rests on
	Refusal RefusalDetail // with route.Refuse: why there was no room
}

// RefusalDetail is what was known when a request was refused.
type RefusalDetail struct {
	Waited    clock.Millis // since the request arrived
	Probed    int          // upstreams asked for their load last
	Upstreams int          // that this host uses
	Usable    int          // of them those that may get the request
	WithRoom  int          // of these those with room, by what was last known
	Queued    int          // requests that wait on this host
}

// SendDetail is what was known of an upstream when a request was sent to it.
type SendDetail struct {
	Waited   clock.Millis // since the request arrived
	Probed   int          // upstreams asked for their load
	Reported bool         // the upstream has said its load
	Age      clock.Millis // of its report
	Load     int          // requests running or waiting there
	Slots    int
	Slowdown float64
	Attempt  int // 1 for the request's first
	Hedge    bool
}

// StateChange is a change of what a Placer believes of an upstream.
type StateChange struct {
	Upstream string
	State    string // "ejected", "unreachable" or "draining"
	For      clock.Millis
	Failures int     // in a row
	Success  float64 // share of successes
}

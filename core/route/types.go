// Package route decides, for one service on one host, which upstream runs which
// request and when. It is a plain state machine: events go in with the current
// time, actions come out. It has no goroutine, socket or wall clock.
package route

import "siskinpath/core/clock"

// RequestID names a request within one Shard.
type RequestID uint64

// AttemptID names one sending of a request to one upstream within one Shard.
type AttemptID uint64

// Upstream is an upstream as this host may use it.
type Upstream struct {
	Name             string
	AvailabilityZone string
	Weight           int  // 0 to 1000
	Share            int  // requests in flight that this host may have there; 0 means none
	RatePerSecond    int  // requests this host may start there a second; 0 means no limit
	Leaving          bool // takes no new work
	ProbeAllowed     bool // this host is the one that may probe it
}

// Config is what a Shard works with until the next Config.
type Config struct {
	Self             string     // this host's id
	AvailabilityZone string     // this host's availability zone
	Upstreams        []Upstream // those this host holds rights to
	Owners           []string   // ids of the other hosts that own upstreams of the service
	RatePerSecond    int        // requests this host may accept a second; 0 means no limit
	HedgePercent     float64    // hedges allowed, in percent of requests
}

// Request is a request that wants an upstream.
type Request struct {
	ID         RequestID
	Deadline   clock.Millis // point in time after which the answer is worthless
	Idempotent bool         // may be sent more than once
	Hops       int          // hosts it has passed through before this one
	Depth      int          // calls nested above this one; above 0 an errored or lost attempt is not retried
}

// Status is how an attempt ended.
type Status int

// Ends of an attempt.
const (
	Succeeded Status = iota // a whole answer, not an upstream error
	Errored                 // a whole answer that says the upstream failed (5xx)
	Refused                 // the upstream says that it did not run the request
	NotSent                 // no byte reached the upstream
	Lost                    // the connection failed after the first byte; it may have run
	Cancelled               // cancelled on our side
)

// LoadReport is what an upstream says of itself, on a reply or to a probe.
// Reports lag and may mislead.
type LoadReport struct {
	InFlight int
	Queued   int
	Draining bool
	Slots    int     // requests it runs at a time; 0 when it doesn't say
	Slowdown float64 // how long work takes there now, 1 as usual; 0 when it doesn't say
}

// Result is the end of an attempt.
type Result struct {
	Attempt        AttemptID
	Status         Status
	Load           *LoadReport // nil when the reply carried none
	BlockedLocally bool        // with NotSent: this host would not send it, which says nothing of the upstream
	// AddressReassigned says, with Refused, that another upstream has the address now.
	AddressReassigned bool
}

// Digest is what an owner tells the other owners of a service about itself.
type Digest struct {
	Host   string
	Free   int // slots free now
	Queued int // requests waiting for a slot
	Slots  int // slots it owns
}

// ActionKind says what an Action asks for.
type ActionKind int

// Kinds of Action.
const (
	Send       ActionKind = iota // send Request to Upstream as Attempt
	Cancel                       // cancel Attempt: close its connection; a Result follows
	Forward                      // pass Request to Host; a ForwardResult follows
	Finish                       // Request is settled by Attempt's answer
	Refuse                       // Request is given up: not run
	Unknown                      // Request is given up: it may have run
	SendDigest                   // tell the other owners Digest
	Probe                        // probe Upstream; a ProbeResult follows
)

// Reason says why a request was refused. It is part of the callers' interface.
type Reason string

// Reasons for a refusal, or for an unknown outcome.
const (
	ReasonOverloaded      Reason = "overloaded"       // no slot will be free in time
	ReasonDeadline        Reason = "deadline"         // the deadline passed before it was sent
	ReasonNoUpstream      Reason = "no_upstream"      // no upstream takes work
	ReasonRateLimited     Reason = "rate_limited"     // the service's rate is used up
	ReasonUpstreamRefused Reason = "upstream_refused" // every upstream tried refused it
	ReasonConnectionLost  Reason = "connection_lost"  // the connection failed after the first byte; only with Unknown
	ReasonTimeout         Reason = "timeout"          // no answer in time from an upstream that has it; only with Unknown
	ReasonCallerGone      Reason = "caller_gone"      // the caller left
)

// Action is something the driver of a Shard must do.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    AttemptID
	Upstream   string
	Host       string
	Reason     Reason
	RetryAfter clock.Millis // when the caller may come back; for Refuse and Unknown
	Digest     Digest
}

// ForwardResult is the end of a Forward.
type ForwardResult struct {
	Request        RequestID
	Host           string
	NotRun         bool    // the other host says that the request did not run, or it never got there
	OutcomeUnknown bool    // the other host gave no answer, or says that it can't tell: it may have run
	Digest         *Digest // of Host, nil when the answer carried none
	RetryAfter     clock.Millis
}

// ProbeResult is the end of a Probe.
type ProbeResult struct {
	Upstream          string
	OK                bool
	AddressReassigned bool // another upstream has the address now
	Latency           clock.Millis
	Load              *LoadReport
}

// Package route decides, for one service on one host, which upstream runs which
// request and when. It is a deterministic state machine: each event comes with the
// current time and returns the actions to carry out. The package starts no
// goroutine, opens no socket and reads no wall clock.
package route

import "siskinpath/core/clock"

// RequestID identifies a request within one Shard.
type RequestID uint64

// AttemptID identifies one attempt, the sending of a request to one upstream,
// within one Shard.
type AttemptID uint64

// Upstream is the configuration of an upstream for this host.
type Upstream struct {
	Name             string
	AvailabilityZone string
	Weight           int  // 0 to 1000
	Share            int  // most requests this host may have in flight there; 0 means none
	RatePerSecond    int  // most requests per second this host may start there; 0 means no limit
	Leaving          bool // gets no new requests
	ProbeAllowed     bool // this host is the one to probe it
}

// Config is the configuration of a Shard.
type Config struct {
	Self             string     // this host's id
	AvailabilityZone string     // this host's availability zone
	Upstreams        []Upstream // upstreams this host may send requests to
	Owners           []string   // ids of the other hosts that own upstreams of the service
	RatePerSecond    int        // most requests per second this host may accept; 0 means no limit
	HedgePercent     float64    // most hedges, in percent of requests
}

// Request is a request to be routed.
type Request struct {
	ID         RequestID
	Deadline   clock.Millis // time after which the answer is useless
	Idempotent bool         // may be sent more than once
	Hops       int          // hosts it has passed through before this one
	Depth      int          // calls this one is nested below; above 0 an errored or lost attempt is not retried
}

// Status is how an attempt ended.
type Status int

// Ends of an attempt.
const (
	Succeeded      Status = iota // complete answer that is not an upstream error
	Errored                      // complete answer that reports an upstream error (5xx)
	Refused                      // the upstream reports that it did not run the request
	NotSent                      // no byte reached the upstream
	ConnectionLost               // the connection failed after the first byte; the request may have run
	Cancelled                    // ended by this host, which says nothing about the upstream; the request may have run
)

// LoadReport is the load that an upstream reports in a reply or an answer to a
// probe. Reports lag and may be wrong.
type LoadReport struct {
	InFlight int
	Queued   int
	Draining bool
	Slots    int     // requests it runs at a time; 0 when not reported
	Slowdown float64 // present duration of requests relative to the usual one; 0 when not reported
}

// Result is the end of an attempt.
type Result struct {
	Attempt        AttemptID
	Status         Status
	Load           *LoadReport // nil when the reply carried none
	BlockedLocally bool        // with NotSent: this host chose not to send it, which says nothing about the upstream
	// AddressReassigned is set with Refused when another upstream has the address now.
	AddressReassigned bool
	Notice            Notice
	Reason            Reason // with Refused by another host
}

// Notice is what an upstream says about itself in a reply, besides its load.
type Notice struct {
	Leaving    bool         // it is about to end
	RetryAfter clock.Millis // it wants no request from this host for so long; 0 if it does not say so
	// PerSecond is how many requests a second it takes from all hosts together while it
	// says so; 0 if it names no limit.
	PerSecond float64
}

// Digest is the load of one owner, as it reports it to the other owners of the
// service.
type Digest struct {
	Host   string
	Free   int // slots free now
	Queued int // requests waiting for a slot
	Slots  int // slots it owns
}

// ActionKind is what an Action asks the driver to do.
type ActionKind int

// Kinds of Action.
const (
	Send        ActionKind = iota // send Request to Upstream as Attempt
	Cancel                        // cancel Attempt: close its connection; a Result follows
	Forward                       // pass Request to Host; a ForwardResult follows
	Finish                        // answer Request with Attempt's answer
	Refuse                        // refuse Request: it was not run
	Unknown                       // end Request with an unknown outcome: it may have run
	SendDigest                    // send Digest to the other owners
	Probe                         // probe Upstream; a ProbeResult follows
	SlotMessage                   // pass a message about slots to Host
)

// Reason is why a request was refused or ended unknown. Callers see it, so the
// values are part of the public interface.
type Reason string

// Reasons for a refusal, or for an unknown outcome.
const (
	ReasonOverloaded      Reason = "overloaded"       // no slot will be free before the deadline
	ReasonDeadline        Reason = "deadline"         // the deadline passed before it was sent
	ReasonNoUpstream      Reason = "no_upstream"      // no upstream accepts requests
	ReasonRateLimited     Reason = "rate_limited"     // the service's rate limit is used up
	ReasonUpstreamRefused Reason = "upstream_refused" // every upstream tried refused it
	ReasonConnectionLost  Reason = "connection_lost"  // the connection failed after the first byte; only with Unknown
	ReasonTimeout         Reason = "timeout"          // no answer in time from an upstream that got the request; only with Unknown
	ReasonCallerGone      Reason = "caller_gone"      // the caller disconnected
	ReasonQuarantined     Reason = "quarantined"      // it crashes the upstreams that run it
	ReasonEvacuated       Reason = "evacuated"        // all upstreams are in evacuated availability zones
	ReasonStopping        Reason = "stopping"         // the host may stop before it is answered
	ReasonReplyMemory     Reason = "reply_memory"     // the host had no memory for the reply; only with Unknown
)

// Action is something the driver of a Shard must do.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    AttemptID
	Upstream   string
	Host       string
	Reason     Reason
	RetryAfter clock.Millis // delay after which the caller may retry; for Refuse and Unknown
	Digest     Digest
}

// ForwardResult is the end of a Forward.
type ForwardResult struct {
	Request        RequestID
	Host           string
	NotRun         bool    // the other host reports that the request did not run, or the request never got there
	OutcomeUnknown bool    // the other host gave no answer or does not know the outcome: the request may have run
	Digest         *Digest // of Host, nil when the answer carried none
	RetryAfter     clock.Millis
}

// ProbeResult is the end of a Probe.
type ProbeResult struct {
	Upstream          string
	OK                bool
	AddressReassigned bool // another upstream has the address now
	Answered          bool // something at its address has replied, whatever it said
	Latency           clock.Millis
	Load              *LoadReport
	Notice            Notice
	// ColdFor is the time left until the upstream has warmed up, 0 for a warm one. Only
	// meaningful if ColdKnown is set: the reply has named it.
	ColdFor   clock.Millis
	ColdKnown bool
}

// Package call holds a request and its answer as they pass from filter to
// filter. Both own all of their bytes: nothing in them belongs to a pooled
// object of a library, so that an attempt which outlives its caller can never
// read or write somebody else's request.
package call

import (
	"hash/maphash"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
)

// Call is one request on its way through a host.
type Call struct {
	Service      string
	Organisation string
	Key          string // idempotency key; empty when the request has none
	Method       string
	URI          string // path and query as the upstream sees them
	Host         string // the Host header that the caller sent, for dialects that pass it on
	Header       [][2]string
	Body         []byte
	Deadline     clock.Millis     // point in time on this host's clock
	Idempotent   bool             // may be sent more than once
	Depth        int              // calls nested above this one
	Hops         int              // hosts it has passed through before this one
	Mode         idempotency.Mode // why it came here
	ClaimRow     string           // for idempotency.ModeClaimed: the claim that was found
	Unanswered   bool             // an earlier sending with the same key got no answer
	CallerGone   <-chan struct{}

	// MaySend is asked right before the first byte of each attempt and of each
	// hop; false means that the attempt must not start. Nil allows.
	MaySend func() bool
	// OnNotRun is told when an attempt that Guard allowed ended for certain
	// without running. Nil ignores it.
	OnNotRun func()
}

// Answer is the final answer to a Call: the recorded form, so that a retry can
// be given the same.
type Answer struct {
	idempotency.Reply
	Recorded   bool          // it was recorded earlier
	Definitive bool          // NotRun speaks of every sending of the key, not of this one alone
	GivenUp    bool          // a claim of this host was given up on request
	Digest     *route.Digest // for a request that came from another host
}

// ForCaller returns the answer that may be given to c. A request that was refused
// before the record of its key was asked did not run this time, but an earlier
// sending that got no answer may have.
func (a Answer) ForCaller(c *Call) Answer {
	if a.Outcome != idempotency.NotRun || a.Definitive || c.Key == "" || !c.Unanswered {
		return a
	}
	return Unknown(ReasonEarlierSending)
}

var seed = maphash.MakeSeed()

// Fingerprint tells two requests apart that carry the same key. It is valid
// within this process.
func (c *Call) Fingerprint() uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.WriteString(c.Method)
	h.WriteByte(0)
	h.WriteString(c.URI)
	h.WriteByte(0)
	h.Write(c.Body)
	return h.Sum64()
}

// NotRun is the answer to a request that was given up before any byte of it
// reached an upstream. The caller may come back after retryAfter.
func NotRun(reason string, retryAfter clock.Millis) Answer {
	status := statusUnavailable
	switch reason {
	case string(route.ReasonRateLimited):
		status = statusTooMany
	case ReasonUnknownService:
		status = statusNotFound
	}
	return Answer{Reply: idempotency.Reply{Outcome: idempotency.NotRun, Status: status, Reason: reason, RetryAfter: retryAfter}}
}

// BadRequest is the answer to a malformed request.
func BadRequest(reason string) Answer {
	return Answer{Reply: idempotency.Reply{Outcome: idempotency.NotRun, Status: statusBadRequest, Reason: reason}}
}

// Unknown is the answer to a request that may have run.
func Unknown(reason string) Answer {
	return Answer{Reply: idempotency.Reply{Outcome: idempotency.OutcomeUnknown, Status: statusBadGateway, Reason: reason}}
}

// HTTP statuses of answers that no upstream gave.
const (
	statusBadRequest  = 400
	statusNotFound    = 404
	statusTooMany     = 429
	statusBadGateway  = 502
	statusUnavailable = 503
)

// Reasons that a host gives besides those of route and once.
const (
	ReasonUnknownService  = "unknown_service"
	ReasonNoTable         = "no_table"
	ReasonNoOwner         = "no_owner"
	ReasonHostBusy        = "host_busy"
	ReasonDeadlineTooLong = "deadline_too_long"
	ReasonOutcomeUnknown  = "outcome_unknown"
	ReasonTooManyHops     = "too_many_hops"
	ReasonEarlierSending  = "earlier_sending"
	ReasonCallerGone      = "caller_gone"
)

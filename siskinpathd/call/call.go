// Package call defines a request and its answer as they pass through the filters
// of a host. Both own all of their memory and share none with pooled objects of
// the HTTP library, so that an attempt that outlives its caller's request can
// never read or write another request.
package call

import (
	"hash/maphash"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
)

// Call is one request that is processed by a host.
type Call struct {
	Service      string
	Organisation string
	Key          string // idempotency key; empty when the request has none
	Method       string
	URI          string // path and query as sent to the upstream
	Host         string // the caller's Host header, for protocols that forward it
	Header       [][2]string
	Body         []byte
	Deadline     clock.Millis     // on this host's clock
	Idempotent   bool             // may be sent more than once
	Depth        int              // nesting depth: the number of enclosing calls
	Hops         int              // number of hosts that forwarded it before it arrived here
	Mode         idempotency.Mode // origin of the request
	ClaimRow     string           // for idempotency.ModeClaimed: the claim's row as the forwarding host found it
	Unanswered   bool             // the caller got no answer to an earlier request with the same key
	CallerGone   <-chan struct{}

	// MaySend is called right before the first byte of each attempt and of each
	// forward to another host. If it returns false, nothing may be sent. Nil allows
	// everything.
	MaySend func() bool
	// OnNotRun is called when an attempt or forward that MaySend allowed certainly
	// did not run. It may be nil.
	OnNotRun func()
}

// Answer is the final answer to a Call. It holds the reply in the form in which it
// is recorded, so that a retry gets the same reply.
type Answer struct {
	idempotency.Reply
	Recorded   bool          // the reply was recorded for an earlier request with the same key
	Definitive bool          // a NotRun outcome covers every request with the key, not only this one
	GivenUp    bool          // this host gave up its claim at the request of another
	Digest     *route.Digest // load of the answering host; only for a request forwarded between hosts
}

// ForCaller returns the answer that may be sent to the caller of c. A request that
// was refused before the record of its key was consulted did not run this time, but
// an earlier request with the key that got no answer may have run. The outcome is
// then unknown.
func (a Answer) ForCaller(c *Call) Answer {
	if a.Outcome != idempotency.NotRun || a.Definitive || c.Key == "" || !c.Unanswered {
		return a
	}
	return Unknown(ReasonEarlierSending)
}

var seed = maphash.MakeSeed()

// Fingerprint returns a hash that distinguishes different requests with the same
// key. The hash is valid only within this process.
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

// NotRun returns the answer to a request that certainly did not run: no byte of it
// reached an upstream, or every upstream refused it. The caller may retry after
// retryAfter.
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

// BadRequest returns the answer to a malformed request.
func BadRequest(reason string) Answer {
	return Answer{Reply: idempotency.Reply{Outcome: idempotency.NotRun, Status: statusBadRequest, Reason: reason}}
}

// Unknown returns the answer to a request that may have run.
func Unknown(reason string) Answer {
	return Answer{Reply: idempotency.Reply{Outcome: idempotency.OutcomeUnknown, Status: statusBadGateway, Reason: reason}}
}

// HTTP statuses of answers that don't come from an upstream.
const (
	statusBadRequest  = 400
	statusNotFound    = 404
	statusTooMany     = 429
	statusBadGateway  = 502
	statusUnavailable = 503
)

// Reasons that a host gives in addition to those of packages route and idempotency.
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

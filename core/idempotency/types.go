// Package idempotency decides whether a request that must happen once may run on this
// host. It is a plain state machine without goroutines, sockets or wall clock.
//
// A key that begins with a host's prefix may run only in that incarnation of
// that host; it needs no write. Any other key must first be claimed in the
// platform's table service. The key's own bytes choose the way.
package idempotency

import "siskinpath/core/clock"

// Limits of a key.
const (
	MaxKeyBytes = 200
)

// Verdict is what to do with a request that carries a key.
type Verdict int

// Verdicts.
const (
	Run     Verdict = iota // this host may send it, once
	Wait                   // it is running here; its end will be told
	Answer                 // it has ended; the recorded outcome is the answer
	Forward                // another live host decides: ask it
	Claim                  // a claim must be written first
	Unknown                // it may have run and nobody can tell
	Refuse                 // not run, come back later
	Invalid                // the key is malformed or was used for another request
)

// Outcome is the final outcome of a key.
type Outcome int

// Outcomes. There are no others.
const (
	Answered       Outcome = iota // the whole answer
	NotRun                        // no byte reached an upstream, or every one refused
	OutcomeUnknown                // it may have run
)

// Reasons given in replies. They are part of the callers' interface.
const (
	ReasonMalformedKey    = "malformed_key"       // empty, too long, or not printable ASCII
	ReasonKeyReused       = "key_reused"          // the key belongs to another request
	ReasonKeyFromFuture   = "key_from_future"     // its window has not begun
	ReasonKeyTooOld       = "key_too_old"         // its window is no longer retained
	ReasonRecordsFull     = "records_full"        // no room for a new key
	ReasonDeadline        = "deadline"            // the deadline passed before it was sent
	ReasonPlatformDown    = "platform_down"       // the claim could not be written
	ReasonHostGone        = "host_gone"           // the incarnation that decides has ended
	ReasonHostUnreachable = "host_unreachable"    // the incarnation that decides can't be asked
	ReasonHostNeverHeard  = "host_never_heard"    // no host of that incarnation is known here
	ReasonClaimUnreadable = "claim_unreadable"    // the claim's row is not a claim
	ReasonClaimForgotten  = "claim_forgotten"     // claimed once, and no longer known
	ReasonClaimMoved      = "claim_moved"         // claimed here once, and by another host since
	ReasonSentNoAnswer    = "sent_without_answer" // sent, and its end is not known
	ReasonAnswerNotKept   = "answer_not_kept"     // answered, and too large to retain
	ReasonStillRunning    = "still_running"       // for a request whose deadline passes while it waits
)

// Reply is a recorded answer.
type Reply struct {
	Outcome    Outcome
	Status     int
	Header     [][2]string
	Body       []byte
	Reason     string
	RetryAfter clock.Millis
}

// Mode says where a request comes from.
type Mode int

// Modes of a request.
const (
	ModeCaller  Mode = iota // from a caller
	ModeDecide              // from a host that found this host's prefix in the key
	ModeClaimed             // from a host that found this host's claim
)

// HostStatus is what this host knows of an incarnation of a host.
type HostStatus int

// Presences.
const (
	Reachable   HostStatus = iota // it can be asked
	Terminated                    // it has ended for certain
	Unreachable                   // it may live, but can't be asked
	NeverSeen                     // it was never heard of here
)

// HostLookup tells which host runs as incarnation inc. The keeper calls it only
// from within Begin and ClaimResult, the latter for claims of that request.
type HostLookup func(inc uint64) (hostID string, p HostStatus)

// Request is a request that carries a key.
type Request struct {
	Service      string
	Organisation string
	Key          string
	Fingerprint  uint64       // of method, uri and body
	Deadline     clock.Millis // point in time from which it may not be sent
	Mode         Mode
	Retry        bool   // the caller has asked with this key before and does not know the outcome
	ClaimRow     string // for ModeClaimed: the value of the claim's row as the other host found it
}

// RecordID names one run of a key, or one try to get it, within one Keeper. The
// zero value names none. A later run of the same key has another id.
type RecordID uint64

// Decision is the answer to a Request.
type Decision struct {
	Verdict  Verdict
	Record   RecordID // for Run, Wait, Claim, and Pass to a claimant
	Reply    Reply    // for Answer, Unknown, Refuse and Invalid
	Host     string   // for Pass: the id of the host to ask
	Claimed  bool     // for Pass: ask it with ModeClaimed rather than ModeDecide
	ClaimRow string   // for Pass with Claimed: Request.ClaimRow for the other host
	GivenUp  bool     // for ModeClaimed: this host never sent it and now never will
}

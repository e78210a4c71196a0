// Package idempotency decides whether a request with an idempotency key may run
// on this host, so that each key runs at most once. It is a plain state machine
// without goroutines, sockets or a wall clock.
//
// A key with the prefix of a host's incarnation may run only in that incarnation,
// and needs no write. Any other key must first be claimed in the platform's table
// service. The bytes of the key alone determine which of the two applies.
package idempotency

import "siskinpath/core/clock"

// MaxKeyBytes is the largest length of a key.
const MaxKeyBytes = 200

// Verdict is the action to take on a request that carries a key.
type Verdict int

// Verdicts.
const (
	Run     Verdict = iota // this host may send the request, once
	Wait                   // the key is running here; wait for the reply that End returns
	Answer                 // the key has ended; answer with the recorded reply
	Forward                // another host decides; forward the request to it
	Claim                  // a claim must be written before the request may run
	Unknown                // the request may have run, and its outcome can't be determined
	Refuse                 // the request was not run; the caller may retry later
	Invalid                // the key is malformed or belongs to another request
)

// Outcome is the final outcome of a key.
type Outcome int

// Outcomes. Every key ends with one of them.
const (
	Answered       Outcome = iota // the upstream's answer is complete
	NotRun                        // no byte reached an upstream, or every upstream refused the request
	OutcomeUnknown                // the request may have run
)

// Reasons given in replies. They are part of the API for callers.
const (
	ReasonMalformedKey    = "malformed_key"       // empty, too long, or not printable ASCII
	ReasonKeyReused       = "key_reused"          // the key was used for another request
	ReasonKeyFromFuture   = "key_from_future"     // its window has not begun
	ReasonKeyTooOld       = "key_too_old"         // its window is no longer retained
	ReasonRecordsFull     = "records_full"        // no room for a new record
	ReasonDeadline        = "deadline"            // the deadline passed before the request was sent
	ReasonPlatformDown    = "platform_down"       // the claim could not be written
	ReasonStoreRestored   = "store_restored"      // the platform may have lost the claim of the key a moment ago
	ReasonHostGone        = "host_gone"           // the incarnation that decides has terminated
	ReasonHostUnreachable = "host_unreachable"    // the incarnation that decides can't be reached
	ReasonHostNeverHeard  = "host_never_heard"    // this host has never heard of the incarnation that decides
	ReasonClaimUnreadable = "claim_unreadable"    // the claim's row can't be decoded
	ReasonClaimForgotten  = "claim_forgotten"     // the key was claimed here, and its record is gone
	ReasonClaimMoved      = "claim_moved"         // the key was claimed here, and since then by another host
	ReasonSentNoAnswer    = "sent_without_answer" // the request was sent and no answer is known
	ReasonAnswerNotKept   = "answer_not_kept"     // the answer was too large to store
	ReasonStillRunning    = "still_running"       // the deadline of a waiting request passed while the key was running
)

// Reply is the reply to a request, as recorded for its key.
type Reply struct {
	Outcome    Outcome
	Status     int
	Header     [][2]string
	Body       []byte
	Reason     string
	RetryAfter clock.Millis
}

// Mode is the origin of a request.
type Mode int

// Modes of a request.
const (
	ModeCaller  Mode = iota // from a caller
	ModeDecide              // forwarded by a host that found this host's prefix in the key
	ModeClaimed             // forwarded by a host that found this host's claim
)

// HostStatus is this host's knowledge of an incarnation of a host.
type HostStatus int

// Values of HostStatus.
const (
	Reachable   HostStatus = iota // requests can be forwarded to it
	Terminated                    // it is certain to have ended
	Unreachable                   // it may be running, but can't be reached
	NeverSeen                     // this host has never heard of it
)

// HostLookup returns the id and status of the host that runs as incarnation inc.
// A KeyRegistry calls it only from Begin and, for the claim of that request, from
// HandleClaimOutcome.
type HostLookup func(inc uint64) (hostID string, status HostStatus)

// Request is a request that carries a key.
type Request struct {
	Service      string
	Organisation string
	Key          string
	Fingerprint  uint64       // hash of method, URI and body
	Deadline     clock.Millis // time from which the request may no longer be sent
	Mode         Mode
	Retry        bool   // the caller has sent this key before and does not know the outcome
	ClaimRow     string // for ModeClaimed: the value of the claim's row as the forwarding host found it
}

// RecordID identifies one run of a key, or one attempt to claim it, within one
// KeyRegistry. The zero value identifies no record. A later run of the same key
// has another id.
type RecordID uint64

// Decision is the verdict on a Request, with the data needed to carry it out.
type Decision struct {
	Verdict  Verdict
	Record   RecordID // for Run, Wait, Claim, and Forward with Claimed
	Reply    Reply    // for Answer, Unknown, Refuse and Invalid
	Host     string   // for Forward: the id of the host to forward to
	Claimed  bool     // for Forward: use ModeClaimed instead of ModeDecide
	ClaimRow string   // for Forward with Claimed: the ClaimRow of the forwarded Request
	GivenUp  bool     // for ModeClaimed: this host has not sent the request and never will
}

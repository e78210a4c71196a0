// Package once decides whether a request that must happen once may run on this
// host. It is a plain state machine without goroutines, sockets or wall clock.
//
// A key that begins with a host's prefix may run only in that incarnation of
// that host; it needs no write. Any other key must first be claimed in the
// platform's table service. The key's own bytes choose the way.
package once

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
	Pass                   // another live host decides: ask it
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

// Reply is a recorded answer.
type Reply struct {
	Outcome    Outcome
	Status     int
	Header     [][2]string
	Body       []byte
	Reason     string
	RetryAfter clock.Millis
}

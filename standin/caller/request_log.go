package caller

import (
	"sync"
	"sync/atomic"

	"siskinpath/standin/payload"
)

// Outcome is the result of an attempt or a request as the caller sees it.
type Outcome string

// Outcomes.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	NoReply   Outcome = "no_reply"  // sent, but the connection failed or timed out
	NotSent   Outcome = "not_sent"  // no address or no connection
	Malformed Outcome = "malformed" // the reply violates the protocol
)

// Attempt is one attempt to send a request.
type Attempt struct {
	Address     string
	Host        string // value of Siskin-Host in the reply
	Marker      string // identifies this attempt at the upstream
	Outcome     Outcome
	Reason      string
	Status      int
	Verdict     payload.Verdict // set for Answered with status 200
	SentMs      int64           // Unix time
	EndedMs     int64           // Unix time
	FailedOver  bool            // NoReply because the caller moved on to the next address before its deadline
	FailureKind string          // set for NoReply and NotSent: timeout, reset, closed, no_connection or no_address
}

// RequestRecord is one request with its attempts and its final outcome.
type RequestRecord struct {
	Service      string
	Organisation string
	Key          string // "" for an idempotent request
	Unprefixed   bool   // the key does not begin with a host's prefix
	Attempts     []Attempt
	Final        Outcome
}

// RequestLog records every request. The zero value is an empty log.
type RequestLog struct {
	mu      sync.Mutex
	records []RequestRecord
}

// Add appends r.
func (l *RequestLog) Add(r RequestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns a copy of the records so far.
func (l *RequestLog) Records() []RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestRecord(nil), l.records...)
}

// Counters holds the callers' counters of events that the RequestLog does not
// record.
type Counters struct {
	AddressRequests atomic.Int64 // requests for the addresses of a service
	AddressFailures atomic.Int64 // those that returned no address
	Skipped         atomic.Int64 // requests not started because too many were in flight
	Retries         atomic.Int64
}

package caller

import (
	"sync"
	"sync/atomic"

	"siskinpath/standin/payload"
)

// Outcome is what a caller was told, or that it was told nothing.
type Outcome string

// Outcomes.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	NoReply   Outcome = "no_reply"  // sent, and the connection failed or timed out
	NotSent   Outcome = "not_sent"  // no connection
	Malformed Outcome = "malformed" // an answer outside the protocol
)

// Attempt is one sending of a request.
type Attempt struct {
	Address     string
	Host        string // Siskin-Host
	Marker      string // names this attempt at the upstream
	Outcome     Outcome
	Reason      string
	Status      int
	Verdict     payload.Verdict // for Answered with status 200
	SentMs      int64           // Unix time
	EndedMs     int64           // Unix time
	FailedOver  bool            // NoReply because the caller went on to the next address before its deadline
	FailureKind string          // for NoReply and NotSent: timeout, reset, closed, no_connection or no_address
}

// RequestRecord is one request with all that was told about it.
type RequestRecord struct {
	Service      string
	Organisation string
	Key          string // "" for an idempotent request
	Unprefixed   bool   // the key begins with no host's prefix
	Attempts     []Attempt
	Final        Outcome
}

// RequestLog keeps every request. The zero value is empty and ready.
type RequestLog struct {
	mu      sync.Mutex
	entries []RequestRecord
}

// Add appends r.
func (l *RequestLog) Add(r RequestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, r)
}

// Records returns a copy of the entries so far.
func (l *RequestLog) Records() []RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestRecord(nil), l.entries...)
}

// Counters counts what callers did besides the ledger.
type Counters struct {
	AddressRequests atomic.Int64 // questions for addresses
	AddressFailures atomic.Int64
	Skipped         atomic.Int64 // requests not begun, because too many were open
	Retries         atomic.Int64
}

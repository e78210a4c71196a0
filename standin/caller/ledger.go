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
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	NoReply  Outcome = "no_reply"  // sent, and the connection failed or timed out
	NotSent  Outcome = "not_sent"  // no connection
	Rejected Outcome = "malformed" // an answer outside the protocol
)

// Attempt is one sending of a request.
type Attempt struct {
	Address   string
	Host      string // Siskin-Host
	Marker    string // names this attempt at the upstream
	Outcome   Outcome
	Reason    string
	Status    int
	Verdict   payload.Verdict // for Answered with status 200
	SentMs    int64           // Unix time
	EndedMs   int64           // Unix time
	GaveUp    bool            // NoReply because the caller went on to the next address before its deadline
	FailedHow string          // for NoReply and NotSent: timeout, reset, closed, no_connection or no_address
}

// Entry is one request with all that was told about it.
type Entry struct {
	Service      string
	Organisation string
	Key          string // "" for an idempotent request
	Unprefixed   bool   // the key begins with no host's prefix
	Attempts     []Attempt
	Final        Outcome
}

// Ledger keeps every request. The zero value is empty and ready.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
}

// Add appends e.
func (l *Ledger) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

// Entries returns a copy of the entries so far.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}

// Counts counts what callers did besides the ledger.
type Counts struct {
	Asked     atomic.Int64 // questions for addresses
	AskFailed atomic.Int64
	Skipped   atomic.Int64 // requests not begun, because too many were open
	Retries   atomic.Int64
}

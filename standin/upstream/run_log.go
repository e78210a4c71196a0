package upstream

import "sync"

// Run is one request that an upstream began to run.
type Run struct {
	Upstream      string `json:"upstream"`
	Organisation  string `json:"organisation"`
	Key           string `json:"key"`    // idempotency key; "" for none
	Marker        string `json:"marker"` // caller's identifier of the attempt
	RequestID     string `json:"request_id"`
	StartedUnixMs int64  `json:"started_unix_ms"`
}

// RunLog records every run in order. The zero value is an empty log.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

// Add appends r.
func (l *RunLog) Add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Runs returns the runs from index n on.
func (l *RunLog) Runs(n int) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n >= len(l.runs) {
		return []Run{}
	}
	return append([]Run(nil), l.runs[n:]...)
}

package upstream

import "sync/atomic"

// ConnectionLimit limits the connections of several pools together. Set the exported fields
// before use. It is safe for concurrent use. A nil ConnectionLimit is no limit.
type ConnectionLimit struct {
	Max int // connections
	// MakeRoom is called when there are Max connections. It may close an idle one, and reports
	// whether it has.
	MakeRoom func() bool

	open atomic.Int64
}

// take takes one connection. It returns false if there are too many.
func (l *ConnectionLimit) take() bool {
	if l == nil || l.tryTake() {
		return true
	}
	return l.MakeRoom != nil && l.MakeRoom() && l.tryTake()
}

func (l *ConnectionLimit) tryTake() bool {
	if l.open.Add(1) > int64(l.Max) {
		l.open.Add(-1)
		return false
	}
	return true
}

func (l *ConnectionLimit) release() {
	if l != nil {
		l.open.Add(-1)
	}
}

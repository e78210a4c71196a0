// Package clock defines time in whole milliseconds, and the clocks that provide it.
//
// The packages that make decisions never read a clock. They take the current time as an
// argument, so that tests can run them in virtual time exactly as the daemon runs them
// in real time.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration, in milliseconds. Points in time count from a
// start that differs between processes, so only durations are sent to another process.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a standard library duration, truncating to milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock provides the current time.
type Clock interface {
	// Now returns the current time. It never goes backwards.
	Now() Millis
}

// System is the monotonic clock of the process.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at one hour, so that subtracting a timeout from
// the current time does not give a negative time.
func NewSystem() *System { return &System{start: time.Now().Add(-time.Hour)} }

// Now returns the milliseconds since the clock's start.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Manual is a clock that only Advance moves, for tests. The zero value starts at 0.
type Manual struct {
	now atomic.Int64
}

// Now returns the time reached by the calls of Advance.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }

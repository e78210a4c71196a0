// Package clock is the project's only notion of time: whole milliseconds.
//
// Decision packages never read a clock. They take the current time as an
// argument, so that a test can drive them in virtual time exactly as the daemon
// drives them in real time.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a span of time, in milliseconds. Points count
// from an arbitrary start that differs between processes, so they are never
// sent to another process; only spans are.
type Millis int64

// Common spans.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts a span for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a standard library span, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the current time.
type Clock interface {
	// Now returns the current point in time. It never goes backwards.
	Now() Millis
}

// System is the clock of the running process. It is monotonic.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at one hour, so that "long ago" is
// never a negative point in time.
func NewSystem() *System { return &System{start: time.Now().Add(-time.Hour)} }

// Now returns the milliseconds since the clock's start.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Manual is a clock that moves only when told to. The zero value starts at 0.
type Manual struct {
	now atomic.Int64
}

// Now returns the point in time last set.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }

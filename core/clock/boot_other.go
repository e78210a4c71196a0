//go:build !linux

package clock

import "time"

var processStart = time.Now()

// Boot is the time since the start of the process. Hosts run on Linux, where it includes
// time in which the machine was suspended.
type Boot struct{}

// Now returns the milliseconds since the start of the process.
func (Boot) Now() Millis { return FromDuration(time.Since(processStart)) }

package clock

import (
	"syscall"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of linux/time.h.
const clockBoottime = 7

// Boot is the time since the machine's start, including time in which the machine was
// suspended, which System leaves out. It does not change when the time of day is set.
type Boot struct{}

// Now returns the milliseconds since the machine's start.
func (Boot) Now() Millis {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		panic(errno) // Linux has had this clock since 2.6.39
	}
	return Millis(ts.Nano() / 1e6)
}

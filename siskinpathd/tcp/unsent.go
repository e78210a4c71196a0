package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unsent returns the number of bytes that were written to a connection and that the peer has not
// acknowledged, 0 if that is not known.
func Unsent(nc net.Conn) (bytes int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); ioctlErr == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}

package caller

import (
	"net"
	"sync"
	"syscall"
	"time"

	"siskinpath/core/clock"
)

// watchDelay is the running time of a request after which its caller's connection
// is watched. Most requests are answered sooner, and a watch costs a goroutine.
const watchDelay = 10 * clock.Millisecond

// watchDisconnect closes gone if the caller closes its connection while its request
// is running. stop ends the watch and returns when the connection is no longer in
// use, so that the HTTP library can read the next request from it.
func watchDisconnect(nc net.Conn) (gone <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return ch, func() {}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	timer := time.AfterFunc(watchDelay.Duration(), func() {
		defer wg.Done()
		if closedByPeer(sc) {
			close(ch)
		}
	})
	stop = func() {
		if timer.Stop() {
			return
		}
		_ = nc.SetReadDeadline(time.Unix(1, 0))
		wg.Wait()
		_ = nc.SetReadDeadline(time.Time{})
	}
	return ch, stop
}

// closedByPeer waits until the connection is readable and reports whether it has
// been closed. It does not consume bytes of a following request.
func closedByPeer(sc syscall.Conn) bool {
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if rerr == syscall.EAGAIN || rerr == syscall.EINTR {
			return false
		}
		closed = n <= 0
		return true
	})
	return closed
}

package upstream

import (
	"bufio"
	"net"
	"syscall"

	"siskinpath/core/clock"
)

// bufferBytes is the size of a connection's read and of its write buffer.
const bufferBytes = 4096

// conn is a connection to an upstream. It counts the bytes written, so that it
// is known whether any part of a request can have reached the upstream.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written int64
	usedAt  clock.Millis
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(nc, bufferBytes)
	c.w = bufio.NewWriterSize(countingWriter{c: c, nc: nc}, bufferBytes)
	return c
}

// countingWriter adds what the kernel took to the connection's count.
type countingWriter struct {
	c  *conn
	nc net.Conn
}

func (w countingWriter) Write(b []byte) (n int, err error) {
	n, err = w.nc.Write(b)
	w.c.written += int64(n)
	return n, err
}

// alive tells whether the upstream has neither closed an idle connection nor
// sent anything on it unasked. Asking before the first byte is what makes a
// retry on another connection safe.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	// Not raw.Read: that fails once the last request's deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
	})
	return err == nil && alive
}

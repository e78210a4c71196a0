package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// bufferBytes is the size of each connection's read buffer and write buffer.
const bufferBytes = 4096

// conn is a connection to an upstream. It counts the bytes written to tell whether
// any part of a request can have reached the upstream.
type conn struct {
	net.Conn
	r               *bufio.Reader
	w               *bufio.Writer
	written         atomic.Int64
	meter           *replyMeter // of the reply being read; nil for none
	lastUsed        clock.Millis
	peerIdleTimeout clock.Millis // the upstream's idle timeout less a margin; 0 if unknown
	// notReusable is set if no other request may be sent on the connection, because
	// the upstream did not read the last request completely, other replies came with
	// its reply, or its reply ended with the connection.
	notReusable bool
	// untilClose is set if the body of the reply ends with the connection.
	untilClose bool
	// namesFailures is set once a reply of status 300 or above has named its request on the
	// connection. One that does not is then a copy of an earlier reply.
	namesFailures bool
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(meteredReader{c}, bufferBytes)
	c.w = bufio.NewWriterSize(countingWriter{c: c, nc: nc}, bufferBytes)
	return c
}

// meteredReader reads from a connection as far as its meter allows.
type meteredReader struct{ c *conn }

func (r meteredReader) Read(b []byte) (n int, err error) {
	n, err = r.c.Read(b)
	if merr := r.c.meter.add(n); merr != nil {
		return 0, merr
	}
	return n, err
}

// countingWriter counts the bytes that the kernel accepted for the connection.
type countingWriter struct {
	c  *conn
	nc net.Conn
}

func (w countingWriter) Write(b []byte) (n int, err error) {
	n, err = w.nc.Write(b)
	w.c.written.Add(int64(n))
	return n, err
}

// idleCloseMargin is how long before the upstream's own idle timeout a connection is
// no longer used, so that a request is not sent while the upstream closes it.
const idleCloseMargin = clock.Second

func (c *conn) setPeerIdleTimeout(d clock.Millis) {
	if d > 0 {
		c.peerIdleTimeout = max(d-idleCloseMargin, d/2)
	}
}

// keepAliveTimeout returns the idle timeout from the Keep-Alive header of a reply,
// or 0 if there is none.
func keepAliveTimeout(resp *fasthttp.Response) clock.Millis {
	for field := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return clock.Millis(seconds) * clock.Second
		}
	}
	return 0
}

// isUsable reports whether the upstream has neither closed an idle connection nor
// sent unrequested data on it. A retry on another connection is safe because this is
// checked before the first byte is written.
func (c *conn) isUsable() bool {
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
	usable := false
	// raw.Read cannot be used here, as it fails once the deadline of the previous
	// request has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
	})
	return err == nil && usable
}

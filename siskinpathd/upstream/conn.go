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

// bufferBytes is the size of a connection's read and of its write buffer.
const bufferBytes = 4096

// conn is a connection to an upstream. It counts the bytes written, so that it
// is known whether any part of a request can have reached the upstream.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written atomic.Int64
	usedAt  clock.Millis
	kept    clock.Millis // how long the upstream keeps it open unused; 0 when it does not say
	// spent says that no other request may be sent on it: the last one was not read
	// whole, or its reply was not alone or ended with the connection.
	spent bool
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
	w.c.written.Add(int64(n))
	return n, err
}

// keepMargin is how long before the upstream's own time-out a connection is no
// longer used, so that a request does not cross its close.
const keepMargin = clock.Second

func (c *conn) keepFor(d clock.Millis) {
	if d > 0 {
		c.kept = max(d-keepMargin, d/2)
	}
}

// keptFor returns how long the upstream says that it keeps the connection open, 0
// when it doesn't say.
func keptFor(resp *fasthttp.Response) clock.Millis {
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

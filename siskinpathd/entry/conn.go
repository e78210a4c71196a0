package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/siskinpathd/tcp"
)

const (
	// maxPipelined is the number of pipelined requests that are read ahead on one
	// connection before the first of them is answered.
	maxPipelined = 16
	// writeTimeout is how long a caller may take to receive a response.
	writeTimeout = 10 * clock.Second
	// bodyTimeout is how long a caller may take to send a request body.
	bodyTimeout = 30 * clock.Second
	// idleMargin is added to the configured idle time-out of a connection.
	idleMargin = 2 * clock.Second
	// firstRequestWait is how long a new connection without a request is not closed.
	firstRequestWait = 500 * clock.Millisecond
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4096
	// requestLineBytes is the size of the read buffer beyond the limit on header fields, for
	// the request line.
	requestLineBytes = 2048
	// readBufferBytes is the size of a connection's read buffer, which grows for a longer
	// header.
	readBufferBytes = 4096
)

// conn is a caller's connection. One goroutine reads requests, so that a closed
// connection is noticed while a request runs. Another goroutine writes the
// responses in order.
type conn struct {
	net.Conn
	server    *Server
	r         *bufio.Reader // reads from the conn, which counts the bytes
	caller    string        // address of the caller, without its port
	requests  chan *heldRequest
	inFlight  atomic.Int32 // requests read or being read, and not yet answered
	lingering atomic.Bool  // the last response was written
	// noMore is set when no further request is read, so that the last response closes the
	// connection.
	noMore atomic.Bool
	buffer int64 // memory taken for an enlarged read buffer
	// ctx is cancelled when the connection has ended.
	ctx    context.Context
	cancel context.CancelFunc

	received transfer                    // of the request that is being read
	sent     transfer                    // of the response that is being written
	removed  chan struct{}               // closed when the connection has been closed and forgotten
	aborted  atomic.Bool                 // this host has closed it before the end of a request or response
	body     atomic.Bool                 // a body is being read
	stopped  atomic.Bool                 // the body is not read any more: the client was too slow, or refused is set
	refused  atomic.Bool                 // this host stops before it could answer the request
	reading  atomic.Pointer[bodyRequest] // the request whose body is or was last read

	writeMu sync.Mutex // held while a response, or 100 Continue between two, is written

	mu            sync.Mutex
	idle          bool         // no byte of another request has been read
	idleSince     clock.Millis // also the time of the connect
	closeWhenIdle bool         // close the connection as soon as it is idle
	used          bool         // a byte of a request has been read
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		Conn: nc, server: s, caller: callerAddress(nc), requests: make(chan *heldRequest, maxPipelined), removed: make(chan struct{}),
		idle: true, idleSince: s.Clock.Now(),
	}
	c.r = bufio.NewReaderSize(c, min(readBufferBytes, headerBufferBytes(s.Limits())))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) serve() {
	go c.writeResponses()
	err := c.readRequests()
	c.handleReadEnd(err)
	c.releaseBuffer()
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.received.add(c.server.Clock.Now(), n)
	return n, err
}

// headerBufferBytes returns the size of the read buffer that holds any header.
func headerBufferBytes(limits config.Limits) int { return limits.MaxHeaderBytes + requestLineBytes }

// enlargeBuffer replaces the read buffer by one of a size. It returns an error if there is no
// memory for it.
func (c *conn) enlargeBuffer(size int) error {
	if err := c.takeHeaderMemory(int64(size), longHeldShare); err != nil {
		return err
	}
	c.buffer += int64(size)
	buffered, _ := c.r.Peek(c.r.Buffered())
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), size)
	return nil
}

// shrinkBuffer replaces an enlarged read buffer that holds nothing.
func (c *conn) shrinkBuffer() {
	if c.r.Size() > readBufferBytes && c.r.Buffered() == 0 {
		c.r = bufio.NewReaderSize(c, readBufferBytes)
		c.releaseBuffer()
	}
}

func (c *conn) releaseBuffer() {
	c.server.Headers.Release(c.buffer)
	c.buffer = 0
}

// callerAddress returns the address of the peer of a connection without its port.
func callerAddress(nc net.Conn) string {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return nc.RemoteAddr().String()
}

// handleReadEnd ends the connection after readRequests has returned err. A caller
// whose request could not be read is sent an error response first.
func (c *conn) handleReadEnd(err error) {
	var readErr *readError
	if errors.As(err, &readErr) {
		// Requests that were read before are answered first. The nil entry then
		// makes writeResponses send the error response.
		c.enqueue(nil)
		close(c.requests)
		return
	}
	if c.isStuck() {
		c.abort()
	}
	c.cancel()
	close(c.requests)
}

// isStuck reports whether the client of an idle connection has not taken the last response for
// so long that the kernel should not keep it.
func (c *conn) isStuck() bool {
	c.mu.Lock()
	idle := c.idle && c.inFlight.Load() == 0 && c.server.Clock.Now() >= c.idleSince+slowAfter
	c.mu.Unlock()
	return idle && tcp.Unsent(c.Conn) > 0
}

// readRequests reads requests until the connection ends, and returns the reason. Each is
// subject to the limits in force when it begins.
func (c *conn) readRequests() (err error) {
	for {
		if err = c.awaitRequest(); err != nil {
			return err
		}
		c.received.begin(c.server.Clock.Now())
		req, err := c.readRequest(c.server.Limits())
		c.received.end()
		if errors.Is(err, errReadAhead) {
			return c.stopReading()
		}
		if err != nil {
			return err
		}
		c.shrinkBuffer()
		if err = c.enqueueRequest(req); err != nil {
			req.release()
			if errors.Is(err, errReadAhead) {
				return c.stopReading()
			}
			return err
		}
		if req.ConnectionClose() {
			return c.awaitClose()
		}
	}
}

// enqueueRequest passes a request to writeResponses. While it waits for those before, the
// kernel holds what the client still sends.
func (c *conn) enqueueRequest(req *heldRequest) error {
	select {
	case c.requests <- req:
		return nil
	default:
	}
	const held = 2 * receiveBufferBytes
	if err := c.takeHeaderMemory(held, longHeldShare); err != nil {
		return err
	}
	defer c.server.Headers.Release(held)
	if !c.enqueue(req) {
		return net.ErrClosed
	}
	return nil
}

// stopReading ends the connection after the responses to the requests that were read before the
// present one. What the client still sends is discarded.
func (c *conn) stopReading() error {
	readAheadStopped.Inc()
	c.server.Log.Info("pipelined requests not read, as there is no memory for their headers", "peer", c.RemoteAddr().String())
	c.noMore.Store(true)
	c.inFlight.Add(-1)
	if !c.enqueue(endOfRequests) {
		return net.ErrClosed
	}
	return c.awaitClose()
}

// enqueue passes a request to writeResponses; nil stands for one that could not be
// read. It returns false if the connection has ended.
func (c *conn) enqueue(req *heldRequest) bool {
	select {
	case c.requests <- req:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() (err error) {
	begin := time.Now()
	for {
		end := begin.Add((c.server.Limits().IdleTimeout + idleMargin).Duration())
		if c.inFlight.Load() > 0 {
			end = time.Now().Add(idleMargin.Duration())
		}
		if err = c.SetReadDeadline(end); err != nil {
			return err
		}
		if !c.markIdle() {
			return net.ErrClosed
		}
		if err = c.skipEmptyLines(); err == nil {
			c.markReading()
			return nil
		}
		if c.lingering.Load() {
			return err
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return err
		}
		if c.inFlight.Load() > 0 {
			begin = time.Now()
			continue
		}
		if time.Since(begin) >= (c.server.Limits().IdleTimeout + idleMargin).Duration() {
			return err
		}
	}
}

// skipEmptyLines discards empty lines before a request (RFC 9112, section 2.2), and returns
// when another byte can be read.
func (c *conn) skipEmptyLines() error {
	for {
		b, err := c.r.Peek(1)
		if err != nil {
			return err
		}
		if b[0] == '\n' {
			_, _ = c.r.Discard(1)
			continue
		}
		if b[0] != '\r' {
			return nil
		}
		if b, err = c.r.Peek(2); err != nil || b[1] != '\n' {
			return err
		}
		_, _ = c.r.Discard(2)
	}
}

// awaitClose waits until the caller closes a connection on which no further request
// is read.
func (c *conn) awaitClose() (err error) {
	if err = c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		if _, err = c.r.Discard(1); err != nil {
			return err
		}
	}
}

// markIdle records that no byte of another request has been read. It returns false
// if the connection must be closed.
func (c *conn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		c.idle, c.idleSince = true, c.server.Clock.Now()
	}
	return !c.closeWhenIdle || c.inFlight.Load() > 0
}

func (c *conn) markReading() {
	c.mu.Lock()
	c.idle, c.used = false, true
	c.mu.Unlock()
	c.inFlight.Add(1)
}

// closeIdle closes the connection as soon as it is idle. A request of which a byte
// has been read is answered first, and so is the first request of a caller that has just
// connected.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && c.server.Clock.Now() < c.idleSince+firstRequestWait {
		return
	}
	c.closeWhenIdle = true
	if c.idle && c.inFlight.Load() == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // interrupts awaitRequest
	}
}

// stopBody ends the reading of a body.
func (c *conn) stopBody() {
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the connection and drops what the kernel still has to send, which it would keep
// for minutes where the client takes nothing.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.aborted.Store(true)
	c.cancel() // a reader that waits to pass on a request does not notice the close
	_ = c.Close()
}

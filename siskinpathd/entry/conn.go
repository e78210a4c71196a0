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
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
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
)

// conn is a caller's connection. One goroutine reads requests, so that a closed
// connection is noticed while a request runs. Another goroutine writes the
// responses in order.
type conn struct {
	net.Conn
	server    *Server
	r         *bufio.Reader
	caller    string // address of the caller, without its port
	requests  chan *heldRequest
	inFlight  atomic.Int32 // requests read or being read, and not yet answered
	lingering atomic.Bool  // the last response was written
	// ctx is cancelled when the connection has ended.
	ctx    context.Context
	cancel context.CancelFunc

	writeMu sync.Mutex // held while a response, or 100 Continue between two, is written

	mu            sync.Mutex
	idle          bool      // no byte of another request has been read
	closeWhenIdle bool      // close the connection as soon as it is idle
	newUntil      time.Time // it is not closed before without a request; zero once one was read
}

func (s *Server) serveConn(nc net.Conn) {
	c := &conn{Conn: nc, server: s, caller: callerAddress(nc), requests: make(chan *heldRequest, maxPipelined), newUntil: time.Now().Add(firstRequestWait.Duration())}
	c.r = bufio.NewReaderSize(nc, headerBufferBytes(s.Limits()))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if !s.addConn(c) {
		_ = nc.Close()
		return
	}
	go c.writeResponses()
	err := c.readRequests()
	c.handleReadEnd(err)
}

// headerBufferBytes returns the size of the read buffer, which must hold a whole header.
func headerBufferBytes(limits config.Limits) int { return limits.MaxHeaderBytes + requestLineBytes }

// fitBuffer enlarges the read buffer to what a header may have by now.
func (c *conn) fitBuffer(limits config.Limits) {
	size := headerBufferBytes(limits)
	if c.r.Size() >= size {
		return
	}
	buffered, _ := c.r.Peek(c.r.Buffered())
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn), size)
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
	c.cancel()
	close(c.requests)
}

// readRequests reads requests until the connection ends, and returns the reason. Each is
// subject to the limits in force when it begins.
func (c *conn) readRequests() (err error) {
	for {
		if err = c.awaitRequest(); err != nil {
			return err
		}
		limits := c.server.Limits()
		c.fitBuffer(limits)
		req, err := c.readRequest(limits)
		if err != nil {
			return err
		}
		if !c.enqueue(req) {
			req.release()
			return net.ErrClosed
		}
		if req.ConnectionClose() {
			return c.awaitClose()
		}
	}
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
	c.idle = true
	return !c.closeWhenIdle || c.inFlight.Load() > 0
}

func (c *conn) markReading() {
	c.mu.Lock()
	c.idle, c.newUntil = false, time.Time{}
	c.mu.Unlock()
	c.inFlight.Add(1)
}

// closeIdle closes the connection as soon as it is idle. A request of which a byte
// has been read is answered first, and so is the first request of a caller that has just
// connected.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.newUntil) {
		return
	}
	c.closeWhenIdle = true
	if c.idle && c.inFlight.Load() == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // interrupts awaitRequest
	}
}

// readError reports a request that cannot be read.
type readError struct {
	status int // HTTP status of the response
	// reason is a text of this package and never quotes the request, which may contain a
	// key.
	reason string
	// retryAfter is set if the caller may send the same request again.
	retryAfter clock.Millis
}

func (e *readError) Error() string { return e.reason }

// heldRequest is a request whose body counts against the budget until it is released.
type heldRequest struct {
	fasthttp.Request
	body bodyHold
}

// release returns the body's bytes to the budget.
func (r *heldRequest) release() { r.body.release() }

// readRequest reads a request with its body. The caller must release it.
func (c *conn) readRequest(limits config.Limits) (req *heldRequest, err error) {
	held := &heldRequest{body: bodyHold{budget: c.server.Bodies}}
	req = held
	req.Header.SetNoDefaultContentType(true)
	defer func() {
		if err != nil {
			held.release()
			c.server.recordMalformed(c, &held.Header, err)
		}
	}()
	if err = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration())); err != nil {
		return nil, err
	}
	if err = req.Header.Read(c.r); err != nil {
		return nil, classifyHeaderError(err)
	}
	toOriginForm(&req.Header)
	maxBytes := limits.MaxBodyBytes
	if req.Header.ContentLength() > maxBytes {
		return nil, errBodyTooLarge
	}
	if !req.body.grow(req.Header.ContentLength()) {
		return nil, errBodyMemory
	}
	if req.MayContinue() {
		if err = c.writeContinue(); err != nil {
			return nil, err
		}
	}
	if req.Header.ContentLength() == 0 || req.Header.ContentLength() == identityLength {
		return req, nil
	}
	if err = c.SetReadDeadline(time.Now().Add(bodyTimeout.Duration())); err != nil {
		return nil, err
	}
	if err = req.readBody(c.r, maxBytes); err != nil {
		return nil, classifyBodyError(err)
	}
	return req, nil
}

// identityLength is fasthttp's ContentLength of a request with neither
// Content-Length nor chunked encoding.
const identityLength = -2

// chunkedLength is fasthttp's ContentLength of a request with a body in chunks.
const chunkedLength = -1

// classifyHeaderError returns a readError unless the connection has ended. Errors of
// fasthttp quote the request and are not passed on: its headers may contain a key.
func classifyHeaderError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		return &readError{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &readError{status: fasthttp.StatusRequestTimeout, reason: "header too slow"}
	case errors.As(err, &netErr), isConnectionEnd(err):
		return err
	}
	return &readError{status: fasthttp.StatusBadRequest, reason: "malformed header"}
}

// classifyBodyError is classifyHeaderError for the body with its trailer.
func classifyBodyError(err error) error {
	var readErr *readError
	var netErr net.Error
	switch {
	case errors.As(err, &readErr):
		return readErr
	case errors.As(err, &netErr) && netErr.Timeout():
		return &readError{status: fasthttp.StatusRequestTimeout, reason: "body too slow"}
	case errors.As(err, &netErr), isConnectionEnd(err):
		return err
	}
	return &readError{status: fasthttp.StatusBadRequest, reason: "malformed body or trailer"}
}

// writeResponses handles requests and writes their responses in the order in which
// the requests were read.
func (c *conn) writeResponses() {
	defer c.releaseQueued()
	defer c.server.removeConn(c)
	defer func() { _ = c.Close() }()
	defer c.cancel()
	w := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	for req := range c.requests {
		if req == nil {
			c.writeReadError(w)
			return
		}
		resp := c.server.Handle(c.ctx, &req.Request, c.caller)
		last := c.closesAfter(&req.Request)
		req.release()
		if err := c.write(w, &req.Request, resp, last); err != nil {
			c.server.recordUndelivered(c, &req.Request, err)
			return
		}
		c.inFlight.Add(-1)
		if last {
			c.linger()
			return
		}
	}
}

// releaseQueued releases requests that were read but will not be handled, until
// readRequests has ended. The connection must be closed.
func (c *conn) releaseQueued() {
	for req := range c.requests {
		if req != nil {
			req.release()
		}
	}
}

// lingerTimeout is how long a connection is still read after it was closed for
// writing. Closing it while unread data arrives would reset it, and the caller might
// lose the last response.
const lingerTimeout = clock.Second

// linger closes the connection without a reset. Requests that follow the last
// response are discarded.
func (c *conn) linger() {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	c.lingering.Store(true)
	end := time.Now().Add(lingerTimeout.Duration())
	for {
		_ = c.SetReadDeadline(end)
		select {
		case req, open := <-c.requests:
			if !open {
				return
			}
			if req != nil {
				req.release()
			}
		case <-time.After(time.Until(end)):
			return
		}
	}
}

// closesAfter reports whether the connection is closed after the response to req.
func (c *conn) closesAfter(req *fasthttp.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.ConnectionClose() || c.closeWhenIdle || c.server.keepAliveDisabled.Load()
}

// writeContinue asks the caller for the body of a request.
func (c *conn) writeContinue() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

func (c *conn) write(w *bufio.Writer, req *fasthttp.Request, r *Response, last bool) (err error) {
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	if err = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	r.writeTo(resp)
	resp.SkipBody = req.Header.IsHead()
	if last {
		resp.SetConnectionClose()
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err = resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// writeReadError writes the response to a request that could not be read. What the caller
// still sends of it is discarded, so that the connection is not reset before the caller
// has the response.
func (c *conn) writeReadError(w *bufio.Writer) {
	r := c.server.readErrorResponse(c)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	r.writeTo(resp)
	resp.SetConnectionClose()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if err := resp.Write(w); err != nil {
		return
	}
	if err := w.Flush(); err != nil {
		return
	}
	c.inFlight.Add(-1)
	c.discardInput()
}

// discardInput closes the connection for writing and reads until the caller closes it, for
// lingerTimeout at most. Nothing else may read from the connection.
func (c *conn) discardInput() {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
	_, _ = io.Copy(io.Discard, c.Conn)
}

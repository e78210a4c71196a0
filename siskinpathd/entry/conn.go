package entry

import (
	"bufio"
	"context"
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
	// readAhead is how many requests of one connection are read before the first
	// of them is answered.
	readAhead = 16
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 10 * clock.Second
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * clock.Second
	// idleMargin is how much longer than the limit an idle connection is kept.
	idleMargin = 2 * clock.Second
	// writeBuffer is the size of a connection's write buffer, in bytes.
	writeBuffer = 4096
)

// conn is a caller's connection. One goroutine reads requests, so that the end
// of the connection is seen while one of them runs; another answers them in
// order.
type conn struct {
	net.Conn
	server    *Server
	r         *bufio.Reader
	requests  chan *fasthttp.Request
	busy      atomic.Int32 // requests read and not yet answered
	lingering atomic.Bool  // the last answer was written
	// ctx ends when the caller has closed the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	idle   bool // no byte of a next request has been read
	closes bool // closes as soon as it is idle
}

func (s *Server) serveConn(nc net.Conn) {
	limits := s.Limits()
	c := &conn{Conn: nc, server: s, requests: make(chan *fasthttp.Request, readAhead)}
	c.r = bufio.NewReaderSize(nc, limits.MaxHeaderBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if !s.add(c) {
		_ = nc.Close()
		return
	}
	go c.answerAll()
	err := c.readAll(limits)
	c.end(err)
}

// end closes the connection after its reader has stopped.
func (c *conn) end(err error) {
	var refusal *readError
	if errors.As(err, &refusal) {
		// What was read before is answered first, then the refusal.
		c.push(nil)
		close(c.requests)
		return
	}
	c.cancel()
	close(c.requests)
}

// readAll reads requests until the connection ends, and returns why.
func (c *conn) readAll(limits config.Limits) (err error) {
	for {
		if err = c.awaitRequest(limits); err != nil {
			return err
		}
		req, err := c.readRequest(limits)
		if err != nil {
			return err
		}
		if !c.push(req) {
			return net.ErrClosed
		}
		if req.ConnectionClose() {
			return c.awaitEnd()
		}
	}
}

// push hands a request over to be answered, nil for one that could not be read.
func (c *conn) push(req *fasthttp.Request) bool {
	select {
	case c.requests <- req:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest(limits config.Limits) (err error) {
	for {
		if err = c.SetReadDeadline(time.Now().Add((limits.IdleTimeout + idleMargin).Duration())); err != nil {
			return err
		}
		if !c.setIdle() {
			return net.ErrClosed
		}
		_, err = c.r.Peek(1)
		if err == nil {
			c.setRead()
			return nil
		}
		if c.lingering.Load() {
			return err
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && c.busy.Load() > 0 {
			continue
		}
		return err
	}
}

// awaitEnd waits until the caller closes a connection on which it sends nothing more.
func (c *conn) awaitEnd() (err error) {
	if err = c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		if _, err = c.r.Discard(1); err != nil {
			return err
		}
	}
}

// setIdle notes that nothing of a next request was read. It is false when the
// connection is to close.
func (c *conn) setIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	return !c.closes || c.busy.Load() > 0
}

func (c *conn) setRead() {
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	c.busy.Add(1)
}

// closeIdle closes the connection once it is idle. A request of which a byte was
// read is answered first.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes = true
	if c.idle && c.busy.Load() == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the wait for a first byte
	}
}

// readError is a request that can't be read, with the status that says why.
type readError struct {
	status int
	reason string
}

func (e *readError) Error() string { return e.reason }

// readRequest reads a request whole.
func (c *conn) readRequest(limits config.Limits) (req *fasthttp.Request, err error) {
	req = &fasthttp.Request{}
	req.Header.SetNoDefaultContentType(true)
	defer func() {
		if err != nil {
			c.server.malformed(c, err)
		}
	}()
	if err = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration())); err != nil {
		return nil, err
	}
	if err = req.Header.Read(c.r); err != nil {
		return nil, headerFault(err)
	}
	if len(req.Header.Peek("Transfer-Encoding")) > 0 && len(req.Header.Peek("Content-Length")) > 0 && req.Header.ContentLength() < 0 {
		return nil, &readError{fasthttp.StatusBadRequest, "both a length and chunks"}
	}
	if req.Header.ContentLength() > limits.MaxBodyBytes {
		return nil, &readError{fasthttp.StatusRequestEntityTooLarge, "body too large"}
	}
	if req.MayContinue() {
		if _, err = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if req.Header.ContentLength() == 0 || req.Header.ContentLength() == identityLength {
		return req, nil
	}
	if err = c.SetReadDeadline(time.Now().Add(bodyTimeout.Duration())); err != nil {
		return nil, err
	}
	if err = req.ContinueReadBody(c.r, limits.MaxBodyBytes, false); err != nil {
		return nil, bodyFault(err)
	}
	return req, nil
}

// identityLength is fasthttp's content length of a request that names none.
const identityLength = -2

func headerFault(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		return &readError{fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &readError{fasthttp.StatusRequestTimeout, "header too slow"}
	case errors.As(err, &netErr), isEnd(err):
		return err
	}
	return &readError{fasthttp.StatusBadRequest, err.Error()}
}

func bodyFault(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &readError{fasthttp.StatusRequestEntityTooLarge, "body too large"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &readError{fasthttp.StatusRequestTimeout, "body too slow"}
	case errors.As(err, &netErr), isEnd(err):
		return err
	}
	return &readError{fasthttp.StatusBadRequest, err.Error()}
}

// answerAll answers requests in the order in which they were read.
func (c *conn) answerAll() {
	defer c.server.drop(c)
	defer func() { _ = c.Close() }()
	defer c.cancel()
	w := bufio.NewWriterSize(c.Conn, writeBuffer)
	for req := range c.requests {
		if req == nil {
			c.refuseUnread(w)
			return
		}
		a := c.server.Handle(c.ctx, req)
		last := c.isLast(req)
		if err := c.write(w, req, a, last); err != nil {
			c.server.undelivered(c, req, err)
			return
		}
		c.busy.Add(-1)
		if last {
			c.linger()
			return
		}
	}
}

// lingerFor is how long a connection that was closed for writing still takes in
// what the caller had sent: closing it at once would reset it, and the last
// answer might be lost with it.
const lingerFor = clock.Second

// linger ends the connection without a reset. Requests read behind the last
// answer are dropped.
func (c *conn) linger() {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	c.lingering.Store(true)
	end := time.Now().Add(lingerFor.Duration())
	for {
		_ = c.SetReadDeadline(end)
		select {
		case _, open := <-c.requests:
			if !open {
				return
			}
		case <-time.After(time.Until(end)):
			return
		}
	}
}

// isLast tells whether the connection closes behind the answer to req.
func (c *conn) isLast(req *fasthttp.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.ConnectionClose() || c.closes || c.server.leaving.Load()
}

func (c *conn) write(w *bufio.Writer, req *fasthttp.Request, a *Response, last bool) (err error) {
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	if err = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	a.fill(resp)
	resp.SkipBody = req.Header.IsHead()
	if last {
		resp.SetConnectionClose()
	}
	if err = resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// refuseUnread answers a request that could not be read.
func (c *conn) refuseUnread(w *bufio.Writer) {
	status := c.server.unread(c)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SetStatusCode(status)
	resp.SetConnectionClose()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if err := resp.Write(w); err != nil {
		return
	}
	_ = w.Flush()
}

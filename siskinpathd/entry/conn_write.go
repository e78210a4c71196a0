package entry

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// writeResponses handles requests and writes their responses in the order in which
// the requests were read.
func (c *conn) writeResponses() {
	defer c.releaseQueued()
	defer c.server.removeConn(c)
	defer func() { _ = c.Close() }()
	defer c.cancel()
	w := bufio.NewWriterSize(c, writeBufferBytes)
	for req := range c.requests {
		if req == nil {
			c.writeReadError(w)
			return
		}
		if req == endOfRequests {
			c.linger()
			return
		}
		resp := c.server.Handle(c.ctx, &req.Request, c.caller)
		last := c.closesAfter(&req.Request)
		err := c.write(w, &req.Request, resp, last)
		req.release()
		resp.release()
		if err != nil {
			c.server.recordUndelivered(c, &req.Request, err)
			c.abort()
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
	if c.noMore.Load() && c.inFlight.Load() == 1 {
		return true
	}
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
	c.sent.begin(c.server.Clock.Now())
	defer c.sent.end()
	if err = resp.Write(w); err != nil {
		return err
	}
	if err = w.Flush(); err != nil {
		return err
	}
	c.server.Unread.add(c, int(c.sent.bytes.Load()))
	return nil
}

// writePieceBytes is the number of bytes that are written at once. A client that takes them at
// minTransferRate does so within slowAfter.
const writePieceBytes = 32 << 10

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (n int, err error) {
	for len(b) > n && err == nil {
		var written int
		written, err = c.Conn.Write(b[n:min(len(b), n+writePieceBytes)])
		c.sent.add(c.server.Clock.Now(), written)
		n += written
	}
	return n, err
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

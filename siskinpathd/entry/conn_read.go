package entry

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/siskinpathd/memory"
)

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

// heldRequest is a request whose header and body use memory until it is released.
type heldRequest struct {
	fasthttp.Request
	body    bodyHold
	headers *memory.Part
	header  int64 // bytes taken of headers
}

// endOfRequests stands for the end of the requests that are read from a connection.
var endOfRequests = &heldRequest{}

// release returns the memory of the header and the body.
func (r *heldRequest) release() {
	r.body.release()
	if r.header > 0 {
		r.headers.Release(r.header)
		r.header = 0
	}
}

// readRequest reads a request with its body. The caller must release it.
func (c *conn) readRequest(limits config.Limits) (req *heldRequest, err error) {
	held := &heldRequest{body: bodyHold{budget: c.server.Bodies}, headers: c.server.Headers}
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
	if err = c.readHeader(&req.Header, limits); err != nil {
		return nil, classifyHeaderError(err)
	}
	if err = c.holdHeader(req); err != nil {
		return nil, err
	}
	toOriginForm(&req.Header)
	maxBytes := limits.MaxBodyBytes
	if req.Header.ContentLength() > maxBytes {
		return nil, errBodyTooLarge
	}
	if !req.body.grow(req.Header.ContentLength()) {
		return nil, errBodyMemory
	}
	if err = c.admitBody(&req.Header); err != nil {
		return nil, err
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
	if size := headerBufferBytes(limits); req.Header.ContentLength() == chunkedLength && c.r.Size() < size {
		// The buffer must hold the trailer.
		if err = c.enlargeBuffer(size); err != nil {
			return nil, err
		}
	}
	c.stopped.Store(false)
	c.body.Store(true)
	defer c.body.Store(false)
	if err = req.readBody(c.r, maxBytes); err != nil {
		if c.refused.Load() {
			return nil, errBodyStopping
		}
		return nil, classifyBodyError(err)
	}
	return req, nil
}

// admitBody returns an error if the request has a body that is not worth reading.
func (c *conn) admitBody(h *fasthttp.RequestHeader) error {
	if length := h.ContentLength(); length == 0 || length == identityLength {
		return nil
	}
	var b bodyRequest
	if c.server.DescribeBody != nil {
		b = c.server.DescribeBody(h)
	}
	c.reading.Store(&b)
	if c.server.refusesBody(b) {
		return errBodyStopping
	}
	return nil
}

// readHeader reads a header, for which it enlarges the buffer if need be.
func (c *conn) readHeader(h *fasthttp.RequestHeader, limits config.Limits) (err error) {
	var small *fasthttp.ErrSmallBuffer
	for {
		if err = h.Read(c.r); !errors.As(err, &small) || c.r.Size() >= headerBufferBytes(limits) {
			return err
		}
		if err = c.enlargeBuffer(headerBufferBytes(limits)); err != nil {
			return err
		}
	}
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
	var readErr *readError
	var netErr net.Error
	switch {
	case errors.As(err, &readErr), errors.Is(err, errReadAhead):
		return err
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

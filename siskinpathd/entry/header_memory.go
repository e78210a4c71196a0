package entry

import (
	"bytes"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

const (
	// heldRequestBytes and headerCopies are what a request takes while it is held: its own
	// structures, and copies of its header as it was read, as parsed fields and as sent.
	heldRequestBytes = 4 << 10
	headerCopies     = 4
	// headerFieldBytes is what each field takes besides, in the lists of parsed and sent fields.
	headerFieldBytes = 160
	// longHeldShare is the share of the memory for headers up to which clients may use it for
	// as long as they like: for headers that they have not sent completely, and for requests
	// that wait for others on their connection.
	longHeldShare = 0.5
	// headerMemoryRetryAfter is the retry delay of a request whose header does not fit.
	headerMemoryRetryAfter = 200 * clock.Millisecond
	// reasonHeaderMemory is the reason of its refusal.
	reasonHeaderMemory = "header_memory"
)

var (
	headersRefused   = metrics.NewCounter("request_headers_refused_total")
	readAheadStopped = metrics.NewCounter("requests_not_read_ahead_total")
)

// Errors of headers that do not fit. They are compared by identity.
var (
	errHeaderMemory = &readError{status: fasthttp.StatusServiceUnavailable, reason: reasonHeaderMemory, retryAfter: headerMemoryRetryAfter}
	// errReadAhead reports that a request is not read because others on its connection have not
	// been answered.
	errReadAhead = errors.New("no memory to read requests ahead")
)

// headerMemory returns the memory that a request takes besides its body.
func headerMemory(h *fasthttp.RequestHeader) int64 {
	raw := h.RawHeaders()
	return heldRequestBytes + headerCopies*int64(len(raw)+len(h.RequestURI())) + headerFieldBytes*int64(bytes.Count(raw, []byte("\n")))
}

// holdHeader takes the memory of a request whose header has been read.
func (c *conn) holdHeader(req *heldRequest) error {
	n := headerMemory(&req.Header)
	share := 1.0
	if c.isReadingAhead() {
		share = longHeldShare
	}
	if err := c.takeHeaderMemory(n, share); err != nil {
		return err
	}
	req.header = n
	return nil
}

// takeHeaderMemory takes n bytes if at most a share of the memory for headers is then in use.
func (c *conn) takeHeaderMemory(n int64, share float64) error {
	switch {
	case c.server.Headers.TakeWithin(n, share):
		return nil
	case c.isReadingAhead():
		return errReadAhead
	}
	return errHeaderMemory
}

// isReadingAhead reports whether requests before the one that is being read have not been
// answered.
func (c *conn) isReadingAhead() bool { return c.inFlight.Load() > 1 }

package entry

import (
	"bufio"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/memory"
)

const (
	// bodyMemoryRetryAfter is the retry delay of a request whose body does not fit.
	bodyMemoryRetryAfter = 200 * clock.Millisecond
	// bodyWait is how long a body waits for others that are ended for it, and bodyWaitInterval
	// how often it looks.
	bodyWait         = 200 * clock.Millisecond
	bodyWaitInterval = 5 * clock.Millisecond
	// bodyStepBytes is how much of a body of unknown length is read at a time.
	bodyStepBytes = 16 << 10
	// smallBodyBytes is the length above which a body in chunks counts twice, as it is copied
	// while it grows.
	smallBodyBytes = 64 << 10
	// reasonBodyMemory is the reason of the refusal of a request whose body does not fit.
	reasonBodyMemory = "body_memory"
)

var (
	bodiesRefused  = metrics.NewCounter("request_bodies_refused_total")
	bodyBytesInUse atomic.Int64
)

func init() {
	metrics.NewGauge("request_body_bytes", func() float64 { return float64(bodyBytesInUse.Load()) })
}

// Errors of bodies that are not read. They are compared by identity.
var (
	errBodyTooLarge = &readError{status: fasthttp.StatusRequestEntityTooLarge, reason: "body too large"}
	errTrailerCut   = &readError{status: fasthttp.StatusBadRequest, reason: "trailer has no end"}
	errBodyMemory   = &readError{status: fasthttp.StatusServiceUnavailable, reason: reasonBodyMemory, retryAfter: bodyMemoryRetryAfter}
)

// bodyBudget limits the bytes of the bodies of requests that are being read or held, so
// that large requests can't take the host's memory. It is safe for concurrent use.
type bodyBudget struct {
	Total int64 // bytes of all bodies
	// Lone is the number of bytes that a body may have beyond Total if there is no other one.
	Lone int64
	// Memory is what the bodies share with other parts of the process; nil for none.
	Memory *memory.Budget
	// Reclaim is called again and again while a body waits. It may end the reading of another
	// one, and reports whether there will be memory. Without it no body waits.
	Reclaim func() bool

	inUse atomic.Int64
}

// newBodyBudget returns the budget of a process with a memory limit; 0 means the default.
func newBodyBudget(memoryMB int) *bodyBudget {
	return &bodyBudget{Total: memoryShare(&Settings{MemoryMB: memoryMB}, bodyMemoryShare)}
}

// bodyHold is the part of the budget that one body takes. It is not safe for concurrent
// use.
type bodyHold struct {
	budget *bodyBudget
	bytes  int64
}

// grow takes n more bytes of the budget; none if n is not positive. It returns false, and
// takes nothing, if they do not fit.
func (h *bodyHold) grow(n int) bool {
	if n <= 0 {
		return true
	}
	return h.tryGrow(int64(n)) || h.wait(int64(n))
}

func (h *bodyHold) tryGrow(n int64) bool {
	b := h.budget
	total := b.inUse.Add(n)
	lone := total == h.bytes+n && total <= b.Lone
	if total > b.Total && !lone || !b.Memory.Take(n) {
		b.inUse.Add(-n)
		return false
	}
	h.bytes += n
	bodyBytesInUse.Add(n)
	return true
}

// wait waits for the memory of others that are ended for this one.
func (h *bodyHold) wait(n int64) bool {
	b := h.budget
	if b.Reclaim == nil || h.bytes+n > max(b.Total, b.Lone) {
		return false
	}
	for waited := clock.Millis(0); waited < bodyWait && b.Reclaim(); waited += bodyWaitInterval {
		time.Sleep(bodyWaitInterval.Duration())
		if h.tryGrow(n) {
			return true
		}
	}
	return false
}

// release returns all bytes to the budget.
func (h *bodyHold) release() {
	if h.bytes == 0 {
		return
	}
	h.budget.inUse.Add(-h.bytes)
	h.budget.Memory.Release(h.bytes)
	bodyBytesInUse.Add(-h.bytes)
	h.bytes = 0
}

// readBody reads the body, whose length, if known, has been taken of the budget.
func (r *heldRequest) readBody(from *bufio.Reader, maxBytes int) error {
	length := r.Header.ContentLength()
	if length == chunkedLength {
		return r.readChunks(from, maxBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(from, body); err != nil {
		return err
	}
	r.SetBodyRaw(body)
	return nil
}

// readChunks reads a body in chunks and its trailer, and takes each part of the budget
// before it is kept. fasthttp would allocate a chunk's whole length when it is announced.
func (r *heldRequest) readChunks(from *bufio.Reader, maxBytes int) (err error) {
	body, err := r.appendChunks(nil, httputil.NewChunkedReader(from), maxBytes)
	if err != nil {
		return err
	}
	r.SetBodyRaw(body)
	if len(body) == 0 {
		r.Header.SetContentLength(0)
	}
	if err = r.Header.ReadTrailer(from); errors.Is(err, io.EOF) {
		return errTrailerCut
	}
	return err
}

// appendChunks appends the bytes of a body to dst until its end.
func (r *heldRequest) appendChunks(dst []byte, from io.Reader, maxBytes int) (body []byte, err error) {
	part := make([]byte, bodyStepBytes)
	for {
		n, err := from.Read(part)
		if len(dst)+n > maxBytes {
			return nil, errBodyTooLarge
		}
		cost := n
		if len(dst)+n > smallBodyBytes {
			cost = 2 * n
		}
		if !r.body.grow(cost) {
			return nil, errBodyMemory
		}
		dst = append(dst, part[:n]...)
		if err == io.EOF {
			return dst, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

package platform

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Kind says what is known after a call failed.
type Kind string

// Kinds of failure. After NotApplied and Conflict a transaction has certainly
// not been applied; after the others it may have been.
const (
	NotApplied     Kind = "not_applied" // no connection, or the platform refused the call
	Conflict       Kind = "conflict"    // a check of the transaction failed
	ConnectionLost Kind = "lost"        // the connection failed or the time ran out after the first byte
	InvalidReply   Kind = "garbage"     // the reply can't be what the platform meant
)

// Error is a failed call.
type Error struct {
	Kind  Kind
	Cause error
}

// Error names the kind and the cause.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// OutcomeUnknown tells whether a transaction that failed with err may have been applied.
func OutcomeUnknown(err error) bool {
	if err == nil {
		return false
	}
	var e *Error
	if !errors.As(err, &e) {
		return true
	}
	return e.Kind == ConnectionLost || e.Kind == InvalidReply
}

// IsConflict tells whether err says that a check of the transaction failed.
func IsConflict(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Conflict
}

// dialError marks failures before the first byte.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// classify judges an error of the HTTP client. Whatever isn't certainly before
// the first byte counts as lost.
func classify(err error) *Error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &Error{Kind: NotApplied, Cause: err}
	}
	return &Error{Kind: ConnectionLost, Cause: err}
}

// statusError judges a status that isn't the one asked for. Only 503 and the
// 400s promise that nothing was applied.
func statusError(status int, reply []byte) *Error {
	cause := fmt.Errorf("status %d: %s", status, excerpt(reply))
	if status == fasthttp.StatusServiceUnavailable || status/100 == 4 {
		return &Error{Kind: NotApplied, Cause: cause}
	}
	return &Error{Kind: ConnectionLost, Cause: cause}
}

func garbage(format string, args ...any) *Error {
	return &Error{Kind: InvalidReply, Cause: fmt.Errorf(format, args...)}
}

// excerpt quotes the start of a reply, so that a log line stays one line.
func excerpt(reply []byte) string {
	if len(reply) > errorExcerptBytes {
		reply = reply[:errorExcerptBytes]
	}
	return strconv.Quote(string(reply))
}

// count counts a call by its path and how it ended.
func (c *Client) count(path string, err error) {
	result := "ok"
	var e *Error
	switch {
	case err == nil:
	case errors.Is(err, context.Canceled):
		result = "cancelled"
	case errors.As(err, &e):
		result = string(e.Kind)
	default:
		result = string(InvalidReply)
	}
	c.Counters.GetOrCreateCounter(fmt.Sprintf(`platform_calls_total{path=%q,result=%q}`, path, result)).Inc()
}

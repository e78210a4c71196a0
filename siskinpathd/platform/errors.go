package platform

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Kind classifies a failed call by what is known of its effect.
type Kind string

// Kinds of failed calls. After NotApplied or Conflict, the transaction has certainly
// not been applied. After the other kinds, it may have been applied.
const (
	NotApplied     Kind = "not_applied" // no connection was made, or the platform refused the call
	Conflict       Kind = "conflict"    // a check of the transaction failed
	ConnectionLost Kind = "lost"        // the connection failed or the call timed out after the first byte was sent
	InvalidReply   Kind = "garbage"     // the reply is malformed or does not match the request
)

// Error reports a failed call.
type Error struct {
	Kind  Kind
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// OutcomeUnknown reports whether a transaction that failed with err may have been
// applied. It returns true for errors of any other type than *Error.
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

// IsConflict reports whether err means that a check of the transaction failed.
func IsConflict(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Conflict
}

// dialError marks a failure to connect, before any byte was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// classify converts an error of the HTTP client. An error that did not certainly
// happen before the first byte was sent is of kind ConnectionLost.
func classify(err error) *Error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &Error{Kind: NotApplied, Cause: err}
	}
	return &Error{Kind: ConnectionLost, Cause: err}
}

// statusError converts an unexpected HTTP status. Only 503 and 4xx guarantee that
// nothing was applied.
func statusError(status int, reply []byte) *Error {
	cause := fmt.Errorf("status %d: %s", status, excerpt(reply))
	if status == fasthttp.StatusServiceUnavailable || status/100 == 4 {
		return &Error{Kind: NotApplied, Cause: cause}
	}
	return &Error{Kind: ConnectionLost, Cause: cause}
}

func invalidReply(format string, args ...any) *Error {
	return &Error{Kind: InvalidReply, Cause: fmt.Errorf(format, args...)}
}

// excerpt returns the start of a reply in quotes, so that a log message stays on one
// line.
func excerpt(reply []byte) string {
	if len(reply) > errorExcerptBytes {
		reply = reply[:errorExcerptBytes]
	}
	return strconv.Quote(string(reply))
}

// count increments the counter of calls by path and result.
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

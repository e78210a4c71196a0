package caller

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

// Headers of the API for callers. See docs/architecture.md.
const (
	headerDeadline     = "Siskin-Deadline-Ms"
	headerOrganisation = "Siskin-Organisation"
	headerKey          = "Idempotency-Key"
	headerIdempotent   = "Siskin-Idempotent"
	headerDepth        = "Siskin-Depth"
	headerUnanswered   = "Siskin-Unanswered"
	headerOutcome      = "Siskin-Outcome"
	headerReason       = "Siskin-Reason"
	headerRetryAfterMs = "Siskin-Retry-After-Ms"
	headerRetryAfter   = "Retry-After"
	headerHost         = "Siskin-Host"
	headerRecorded     = "Siskin-Recorded"
)

// Limits on request headers.
const (
	maxOrganisationBytes = 64
	maxDepth             = 28
	maxDeadline          = clock.Hour
)

// Reasons for a malformed request. They are part of the API for callers.
var (
	errDeadlineMissing   = errors.New("missing_deadline")
	errDeadlineInvalid   = errors.New("invalid_deadline")
	errOrganisation      = errors.New("invalid_organisation")
	errKeyMissing        = errors.New("missing_idempotency_key")
	errKeyInvalid        = errors.New("invalid_idempotency_key")
	errDepth             = errors.New("invalid_depth")
	errIdempotentInvalid = errors.New("invalid_idempotent")
)

// decode checks the headers of a request and copies it out of the buffers of the
// HTTP library.
func decode(ctx *fasthttp.RequestCtx, now clock.Millis) (c *call.Call, err error) {
	h := &ctx.Request.Header
	c = &call.Call{Mode: idempotency.ModeCaller, Method: string(h.Method())}
	if c.Deadline, err = decodeDeadline(h.Peek(headerDeadline), now); err != nil {
		return nil, err
	}
	if c.Organisation, err = decodeOrganisation(h.Peek(headerOrganisation)); err != nil {
		return nil, err
	}
	if c.Key, err = decodeKey(h); err != nil {
		return nil, err
	}
	if c.Idempotent, err = decodeIdempotent(h, c.Key); err != nil {
		return nil, err
	}
	if c.Depth, err = decodeDepth(h.Peek(headerDepth)); err != nil {
		return nil, err
	}
	c.Unanswered = string(h.Peek(headerUnanswered)) == "true"
	c.Service, c.URI = splitTarget(string(ctx.RequestURI()))
	c.Header = copyHeader(h)
	c.Body = append([]byte(nil), ctx.Request.Body()...)
	return c, nil
}

func decodeDeadline(b []byte, now clock.Millis) (clock.Millis, error) {
	if len(b) == 0 {
		return 0, errDeadlineMissing
	}
	ms, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil || ms < 1 || clock.Millis(ms) > maxDeadline {
		return 0, errDeadlineInvalid
	}
	return now + clock.Millis(ms), nil
}

func decodeOrganisation(b []byte) (string, error) {
	if len(b) == 0 || len(b) > maxOrganisationBytes {
		return "", errOrganisation
	}
	for _, ch := range b {
		if !isNameByte(ch) {
			return "", errOrganisation
		}
	}
	return string(b), nil
}

func isNameByte(ch byte) bool {
	letter := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z'
	return letter || ch >= '0' && ch <= '9' || ch == '-' || ch == '_' || ch == '.'
}

func decodeKey(h *fasthttp.RequestHeader) (string, error) {
	keys := h.PeekAll(headerKey)
	switch {
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1 || len(keys[0]) == 0 || len(keys[0]) > idempotency.MaxKeyBytes:
		return "", errKeyInvalid
	}
	for _, ch := range keys[0] {
		if ch <= ' ' || ch > '~' {
			return "", errKeyInvalid
		}
	}
	return string(keys[0]), nil
}

// decodeIdempotent reports whether the request may be sent to upstreams more than
// once. A request with an idempotency key never may.
func decodeIdempotent(h *fasthttp.RequestHeader, key string) (bool, error) {
	value := string(h.Peek(headerIdempotent))
	if value != "" && value != "true" && value != "false" {
		return false, errIdempotentInvalid
	}
	if key != "" {
		return false, nil
	}
	if h.IsGet() || h.IsHead() || value == "true" {
		return true, nil
	}
	return false, errKeyMissing
}

func decodeDepth(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(b))
	if err != nil || n < 0 || n > maxDepth {
		return 0, errDepth
	}
	return n, nil
}

// splitTarget splits "/v1/call/{service}/{path}?{query}" into the service and the
// path and query to send to the upstream.
func splitTarget(uri string) (service, target string) {
	rest := strings.TrimPrefix(uri, callPrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, "/"
	}
	if rest[end] == '?' {
		return rest[:end], "/" + rest[end:]
	}
	return rest[:end], rest[end:]
}

// notForwarded holds the headers that are not forwarded, because the host sets them
// itself or they apply to a single connection.
var notForwarded = map[string]bool{
	headerDeadline: true, headerOrganisation: true, headerKey: true, headerDepth: true, headerIdempotent: true, headerUnanswered: true,
	"Host": true, "Connection": true, "Keep-Alive": true, "Content-Length": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Expect": true, "Siskin-Request-Id": true,
}

func copyHeader(h *fasthttp.RequestHeader) [][2]string {
	var out [][2]string
	for k, v := range h.All() {
		if !notForwarded[string(k)] {
			out = append(out, [2]string{string(k), string(v)})
		}
	}
	return out
}

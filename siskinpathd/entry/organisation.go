package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
)

// Reasons of refusals of requests by their key.
const (
	reasonNoKey      = "no_key"      // no Authorization header, several, or one without a key
	reasonUnknownKey = "unknown_key" // no organisation has the key
	reasonStaleKeys  = "stale_keys"  // this host may not know the present keys
)

// staleKeysRetryAfter is the retry delay given by a host that may not know the present
// keys. Another host may serve the request at once.
const staleKeysRetryAfter = 300 * clock.Millisecond

// bearerScheme is the authentication scheme of keys, in any case of letters.
const bearerScheme = "Bearer"

// configAge tells how far the configuration in force may decide; see Node.keysTrusted.
type configAge struct {
	trusted bool // its keys may be accepted
	current bool // what it lacks may be refused for good
}

func (n *Node) readConfigAge() (age configAge) {
	age.trusted, age.current = n.keysTrusted(n.Clock.Now())
	return age
}

// authenticate sets the organisation of a request by its key, as cfg requires. It returns
// the refusal of a request without a known key, and nil if the request may be served.
// Public routes need no key, unless the path could mean another route. With
// a refusal, digest is the short digest of the key that the request carries, "" without
// one.
func (n *Node) authenticate(cfg *config.Config, age configAge, h *fasthttp.RequestHeader, path string, r *request) (refusal *Response, digest string) {
	r.keysRequired = cfg.KeysRequired
	if !cfg.KeysRequired || r.route.Public && !hasDotSegment(path) {
		return nil, ""
	}
	if !age.trusted {
		return notRunResponse(reasonStaleKeys, staleKeysRetryAfter), ""
	}
	reason := reasonNoKey
	if key, ok := keyOf(h); ok {
		full := config.DigestOf(key)
		if r.organisation = cfg.OrganisationOf(full); r.organisation != nil {
			return nil, ""
		}
		digest, reason = full.Short(), reasonUnknownKey
	}
	if !age.current {
		return notRunResponse(reasonStaleKeys, staleKeysRetryAfter), digest
	}
	return unauthorizedResponse(reason), digest
}

// hasDotSegment reports whether a path has a segment "." or "..", also with its dots
// percent-encoded. Paths are matched with routes as they are, but an upstream may resolve
// such a segment and serve the path of another route.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(strings.ReplaceAll(path, "\\", "/"), "/") {
		switch strings.ReplaceAll(strings.ToLower(segment), "%2e", ".") {
		case ".", "..":
			return true
		}
	}
	return false
}

// unauthorizedResponse returns the final response to a request without a known key.
func unauthorizedResponse(reason string) *Response {
	return &Response{
		Status: fasthttp.StatusUnauthorized, Reason: reason,
		Header: [][2]string{{fasthttp.HeaderWWWAuthenticate, bearerScheme}},
	}
}

// keyOf returns the key of a request. It returns false unless the request has exactly one
// Authorization header with a key in it. The key shares the memory of the request.
func keyOf(h *fasthttp.RequestHeader) (key []byte, ok bool) {
	var value []byte
	count := 0
	for k, v := range h.All() {
		if isHeader(k, fasthttp.HeaderAuthorization) {
			value = v
			count++
		}
	}
	if count != 1 {
		return nil, false
	}
	return parseAuthorization(value)
}

// parseAuthorization returns the key in the value of an Authorization header: the scheme,
// one space or more, and the key. White space at the end of the value is ignored.
func parseAuthorization(value []byte) (key []byte, ok bool) {
	scheme, key, found := bytes.Cut(value, []byte(" "))
	if !found || !strings.EqualFold(string(scheme), bearerScheme) {
		return nil, false
	}
	key = bytes.TrimLeft(key, " ")
	key = bytes.TrimRight(key, " \t")
	if len(key) == 0 || len(key) > config.MaxKeyBytes {
		return nil, false
	}
	return key, true
}

// isKeyHeader reports whether a header of a caller's request must not reach an upstream,
// because it holds the key, or because only hosts may set it. Without organisations there
// is no such header.
func (n *Node) isKeyHeader(r *request, name string) bool {
	if !r.keysRequired {
		return false
	}
	return isHeader(name, fasthttp.HeaderAuthorization) || n.CallerHeaders.Organisation != "" && isHeader(name, n.CallerHeaders.Organisation)
}

// isHeader reports whether name stands for the header with a canonical name. Letters of
// either case are the same, and so are "-" and "_": CGI-like interfaces of upstreams do
// not tell them apart.
func isHeader[T string | []byte](name T, canonical string) bool {
	if len(name) != len(canonical) {
		return false
	}
	for i := range len(name) {
		if foldHeaderByte(name[i]) != foldHeaderByte(canonical[i]) {
			return false
		}
	}
	return true
}

// foldHeaderByte maps the bytes that isHeader takes for the same to one of them.
func foldHeaderByte(b byte) byte {
	switch {
	case b == '_':
		return '-'
	case 'A' <= b && b <= 'Z':
		return b + ('a' - 'A')
	}
	return b
}

// priority returns the priority of a request: its organisation's if it has one, or else
// its route's.
func (r *request) priority() int {
	if r.organisation != nil && r.organisation.HasPriority {
		return r.organisation.Priority
	}
	return r.route.Priority
}

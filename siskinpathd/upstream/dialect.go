package upstream

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Dialect configures the HTTP headers and the reply handling between hosts and
// upstreams. A header whose name is empty is not used.
type Dialect struct {
	RequestID      string // on requests; upstreams echo it on replies
	Deadline       string // on requests: milliseconds until the deadline
	Instance       string // on requests: expected instance (process start) of the upstream
	ReplyInstance  string // on replies: instance of the upstream that replies
	Organisation   string
	IdempotencyKey string
	Depth          string
	NotExecuted    string // on replies: set if the request did not run
	Load           string // on replies: load report, parsed by ParseLoad
	ParseLoad      func([]byte) *route.LoadReport
	Leaving        string // on replies: set if the upstream is about to end
	Limit          string // on replies: requests a second that the upstream takes from all hosts together
	WarmUp         string // on replies to probes: milliseconds until the upstream has warmed up, 0 for a warm one
	// RetryAfter reads the Retry-After header of replies with status 503.
	RetryAfter bool
	// ReassignedStatus is the HTTP status of a reply from an upstream other than the
	// expected one, which has not run the request. 0 means there is no such status.
	ReassignedStatus int
	// PreserveHost forwards the caller's Host header instead of the upstream's address.
	PreserveHost bool
	// PreserveRequestID keeps the caller's own request ID on the request and on the
	// reply.
	PreserveRequestID bool
	// AllowUnframed accepts replies whose body ends when the connection closes. A
	// truncated body of such a reply cannot be detected.
	AllowUnframed bool
	// SkipLateReplies skips replies that belong to other requests instead of failing
	// the attempt.
	SkipLateReplies bool
}

// Siskin is the default dialect. See docs/architecture.md.
var Siskin = &Dialect{
	RequestID:      "Siskin-Request-Id",
	Deadline:       "Siskin-Deadline-Ms",
	Organisation:   "Siskin-Organisation",
	IdempotencyKey: "Idempotency-Key",
	Depth:          "Siskin-Depth",
	NotExecuted:    "Siskin-Refused",
	Load:           "Siskin-Load",
	ParseLoad:      parseLoad,
}

func (d *Dialect) setHeader(req *fasthttp.Request, a *Attempt, left clock.Millis, address string) {
	c := a.Call
	h := &req.Header
	if d.PreserveHost {
		address = c.Host
	}
	h.SetHost(address)
	h.SetNoDefaultContentType(true)
	for _, kv := range c.Header {
		h.Add(kv[0], kv[1])
	}
	h.Set(d.Deadline, strconv.FormatInt(int64(left), 10))
	if !d.PreserveRequestID {
		h.Set(d.RequestID, a.RequestID)
	}
	if d.Instance != "" && a.Instance != "" {
		h.Set(d.Instance, a.Instance)
	}
	if d.Organisation != "" {
		h.Set(d.Organisation, c.Organisation)
	}
	if d.IdempotencyKey != "" && c.Key != "" {
		h.Set(d.IdempotencyKey, c.Key)
	}
	if d.Depth != "" {
		h.Set(d.Depth, strconv.Itoa(c.Depth+1))
	}
}

// matchesRequest reports whether a reply belongs to the request with this ID. With
// PreserveRequestID, any reply matches a request without an ID, and a reply of status
// 300 or above may lack the ID, because an upstream can refuse a request before it
// has read it.
func (d *Dialect) matchesRequest(resp *fasthttp.Response, id string) bool {
	got := string(resp.Header.Peek(d.RequestID))
	if got == id {
		return true
	}
	if !d.PreserveRequestID {
		return false
	}
	return id == "" || got == "" && resp.StatusCode() >= fasthttp.StatusMultipleChoices
}

// lacksID reports whether a reply does not name its request, which has an ID.
func (d *Dialect) lacksID(resp *fasthttp.Response, id string) bool {
	return id != "" && len(resp.Header.Peek(d.RequestID)) == 0
}

// verify returns an error for a reply that matches a request but does not prove what its
// caller would take from it. A reply without the request's ID proves nothing but that the
// upstream has refused a request; a status that tells callers that the request did not run
// needs the upstream's statement.
func (d *Dialect) verify(resp *fasthttp.Response, id string) error {
	switch {
	case !d.PreserveRequestID || d.refused(resp) || d.addressReassigned(resp):
		return nil
	case d.lacksID(resp, id) && resp.StatusCode() >= fasthttp.StatusMultipleChoices:
		return errNoRequestID
	case saysNotRun(resp.StatusCode()):
		return errNotRunUnproven
	}
	return nil
}

// saysNotRun reports whether a status tells callers that the request did not run.
func saysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

func (d *Dialect) statusOf(resp *fasthttp.Response) route.Status {
	status := resp.StatusCode()
	switch {
	case d.refused(resp), d.addressReassigned(resp):
		return route.Refused
	case status >= fasthttp.StatusInternalServerError:
		return route.Errored
	default:
		return route.Succeeded
	}
}

// refused reports whether the upstream states that it did not run the request. In
// the Siskin dialect this requires status 503 as well.
func (d *Dialect) refused(resp *fasthttp.Response) bool {
	if len(resp.Header.Peek(d.NotExecuted)) == 0 {
		return false
	}
	return d != Siskin || resp.StatusCode() == fasthttp.StatusServiceUnavailable
}

// addressReassigned reports whether the reply states that another upstream has the
// address now.
func (d *Dialect) addressReassigned(resp *fasthttp.Response) bool {
	return d.ReassignedStatus != 0 && resp.StatusCode() == d.ReassignedStatus
}

// fromOtherInstance reports whether the reply comes from an instance other than the
// expected one.
func (d *Dialect) fromOtherInstance(resp *fasthttp.Response, instance string) bool {
	if d.ReplyInstance == "" || instance == "" {
		return false
	}
	got := resp.Header.Peek(d.ReplyInstance)
	return len(got) > 0 && string(got) != instance
}

func (d *Dialect) load(resp *fasthttp.Response) *route.LoadReport {
	return d.ParseLoad(resp.Header.Peek(d.Load))
}

// notice returns what an upstream says about itself in a reply.
func (d *Dialect) notice(resp *fasthttp.Response) (n route.Notice) {
	n.Leaving = d.Leaving != "" && len(resp.Header.Peek(d.Leaving)) > 0 && string(resp.Header.Peek(d.Leaving)) != "0"
	if d.Limit != "" {
		n.PerSecond = parseLimit(string(resp.Header.Peek(d.Limit)))
	}
	if d.RetryAfter && resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		n.RetryAfter = parseRetryAfter(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), time.Now())
	}
	return n
}

// parseLimit parses a number of requests a second. It returns 0, which means no limit,
// for one that is missing or malformed.
func parseLimit(value string) float64 {
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return 0
	}
	return perSecond
}

// maxColdFor bounds the time for which an upstream may call itself cold in one reply.
const maxColdFor = clock.Hour

// coldFor returns the time that an upstream still needs to warm up, and whether its reply
// names one. A malformed time counts as none.
func (d *Dialect) coldFor(resp *fasthttp.Response) (left clock.Millis, known bool) {
	if d.WarmUp == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(string(resp.Header.Peek(d.WarmUp)), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return min(maxColdFor, clock.Millis(ms)), true
}

// maxRetryAfter bounds the time for which an upstream may turn this host away with one
// reply. Operators see such an upstream in the state dump long before.
const maxRetryAfter = clock.Hour

// parseRetryAfter returns the delay of a Retry-After header: seconds, also fractions,
// or a date. It returns 0 for a missing or malformed header, and for a time in the past.
func parseRetryAfter(value string, now time.Time) clock.Millis {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0) {
			return 0
		}
		return clock.Millis(math.Ceil(min(seconds, float64(maxRetryAfter/clock.Second)) * float64(clock.Second)))
	}
	date, err := fasthttp.ParseHTTPDate([]byte(value))
	if err != nil {
		return 0
	}
	return max(0, min(maxRetryAfter, clock.Millis(date.Sub(now).Milliseconds())))
}

// hopByHop lists the headers that belong to one connection and are not forwarded
// with the reply.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Date": true, "Server": true, "Trailer": true, "Upgrade": true,
}

func (d *Dialect) copyReply(resp *fasthttp.Response) *Reply {
	r := &Reply{Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		if !hopByHop[string(k)] && !d.isInternalHeader(string(k)) {
			r.Header = append(r.Header, [2]string{string(k), string(v)})
		}
	}
	if body := resp.Body(); len(body) > 0 {
		r.Body = body
	}
	return r
}

// isInternalHeader reports whether a reply header is meant for the host and is not
// forwarded to the caller.
func (d *Dialect) isInternalHeader(name string) bool {
	return name == d.Load || name == d.NotExecuted || name == d.Leaving || name == d.Limit || name == d.WarmUp || name == d.RequestID && !d.PreserveRequestID
}

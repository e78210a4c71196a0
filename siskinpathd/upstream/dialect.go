package upstream

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Dialect says what headers are called between hosts and upstreams. A name that
// is empty is not used.
type Dialect struct {
	RequestID      string // on requests, and echoed on replies
	Deadline       string // on requests: milliseconds left
	Instance       string // on requests: the start of the upstream that is meant
	ReplyInstance  string // on replies: the start of the upstream that replies
	Organisation   string
	IdempotencyKey string
	Depth          string
	NotExecuted    string // on replies: the request did not run
	Load           string // on replies: the load report
	ParseLoad      func([]byte) *route.LoadReport
	// ReassignedStatus is the status of an upstream that is not the one that was
	// meant. It has not run the request. 0 for none.
	ReassignedStatus int
	// PreserveHost passes the caller's Host header on in place of the address.
	PreserveHost bool
	// PreserveRequestID leaves the caller's own id on the request and on the reply.
	PreserveRequestID bool
	// AllowUnframed takes replies that end with their connection for whole.
	AllowUnframed bool
	// SkipLateReplies reads past replies that belong to other requests.
	SkipLateReplies bool
}

// Siskin is the product's own dialect. See docs/architecture.md.
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

// belongs tells whether a reply is that to the request with this id. A reply
// that says not run may come without an id, as it is written before the request
// is read.
func (d *Dialect) belongs(resp *fasthttp.Response, id string) bool {
	got := string(resp.Header.Peek(d.RequestID))
	if got == id {
		return true
	}
	if !d.PreserveRequestID {
		return false
	}
	return id == "" || got == "" && resp.StatusCode() >= fasthttp.StatusMultipleChoices
}

func (d *Dialect) statusOf(resp *fasthttp.Response) route.Status {
	status := resp.StatusCode()
	switch {
	case d.refused(resp), d.replaced(resp):
		return route.Refused
	case status >= fasthttp.StatusInternalServerError:
		return route.Errored
	default:
		return route.Succeeded
	}
}

// refused tells whether the upstream says that it did not run the request. The
// product's own dialect says so with 503 only.
func (d *Dialect) refused(resp *fasthttp.Response) bool {
	if len(resp.Header.Peek(d.NotExecuted)) == 0 {
		return false
	}
	return d != Siskin || resp.StatusCode() == fasthttp.StatusServiceUnavailable
}

// replaced tells whether the reply says that another upstream has the address.
func (d *Dialect) replaced(resp *fasthttp.Response) bool {
	return d.ReassignedStatus != 0 && resp.StatusCode() == d.ReassignedStatus
}

// isOther tells whether the reply is from another upstream than the one named.
func (d *Dialect) isOther(resp *fasthttp.Response, instance string) bool {
	if d.ReplyInstance == "" || instance == "" {
		return false
	}
	got := resp.Header.Peek(d.ReplyInstance)
	return len(got) > 0 && string(got) != instance
}

func (d *Dialect) load(resp *fasthttp.Response) *route.LoadReport {
	return d.ParseLoad(resp.Header.Peek(d.Load))
}

// hopByHop are headers that belong to one connection, not to the answer.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Date": true, "Server": true, "Trailer": true, "Upgrade": true,
}

func (d *Dialect) copyReply(resp *fasthttp.Response) *Reply {
	r := &Reply{Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		if !hopByHop[string(k)] && !d.private(string(k)) {
			r.Header = append(r.Header, [2]string{string(k), string(v)})
		}
	}
	r.Body = append([]byte(nil), resp.Body()...)
	return r
}

// private tells whether a reply's header is for the host alone.
func (d *Dialect) private(name string) bool {
	return name == d.Load || name == d.NotExecuted || name == d.RequestID && !d.PreserveRequestID
}

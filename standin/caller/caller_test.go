package caller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/standin/payload"
)

// fakeHost is a fake entry host. It responds to its n-th service call with the n-th
// action of script, and to calls after the end of script with the last action.
type fakeHost struct {
	address string
	closed  string   // an address listed before its own; "" for none
	script  []string // answered, wrong, cut, drop, or the value of Siskin-Outcome on a 503
	ln      net.Listener

	mu         sync.Mutex
	keys       []string
	unanswered []string // values of Siskin-Unanswered
	n          int
}

func startHost(script ...string) *fakeHost {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	h := &fakeHost{address: ln.Addr().String(), script: script, ln: ln}
	server := &fasthttp.Server{Handler: h.handle}
	go server.Serve(ln)
	return h
}

func (h *fakeHost) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/addresses/s" {
		own := fmt.Sprintf(`{"address":%q,"key_prefix":"p-"}`, h.address)
		if h.closed != "" {
			own = fmt.Sprintf(`{"address":%q,"key_prefix":"closed-"},`, h.closed) + own
		}
		fmt.Fprintf(ctx, `{"service":"s","ttl_ms":60000,"addresses":[%s]}`, own)
		return
	}
	h.mu.Lock()
	act := h.script[min(h.n, len(h.script)-1)]
	h.n++
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	h.keys = append(h.keys, key)
	h.unanswered = append(h.unanswered, string(ctx.Request.Header.Peek("Siskin-Unanswered")))
	h.mu.Unlock()
	h.respond(ctx, act, key)
}

func (h *fakeHost) respond(ctx *fasthttp.RequestCtx, act, key string) {
	size := ctx.QueryArgs().GetUintOrZero("size")
	marker := string(ctx.QueryArgs().Peek("marker"))
	if key != "" {
		marker = key
	}
	organisation := string(ctx.Request.Header.Peek("Siskin-Organisation"))
	switch act {
	case "drop":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case "wrong":
		ctx.Response.Header.Set("Siskin-Outcome", "answered")
		ctx.SetBody(payload.Body("somebody", marker, size))
	case "cut":
		ctx.Response.Header.Set("Siskin-Outcome", "answered")
		ctx.SetBody(payload.Body(organisation, marker, size)[:size/2])
	case "answered":
		ctx.Response.Header.Set("Siskin-Outcome", "answered")
		ctx.SetBody(payload.Body(organisation, marker, size))
	default:
		ctx.Response.Header.Set("Siskin-Outcome", act)
		ctx.SetStatusCode(503)
	}
}

// sendOne sends one request and returns its record. once is 1 for a request with an
// idempotency key and 0 for one without.
func sendOne(h *fakeHost, once float64) RequestRecord {
	l := LoadGenerator{
		Hosts: []string{h.address}, AvailabilityZones: []string{"z"}, Callers: 1, Organisations: 1,
		Duration: time.Hour, MaxRequests: 1, MaxInFlight: 1, MaxAttempts: 3, Seed: 1,
		Workloads: []Workload{{Service: "s", RatePerSecond: 1000, OnceShare: once, DeadlineMs: 60_000}},
	}
	l.Run(context.Background())
	records := l.RequestLog.Records()
	So(records, ShouldHaveLength, 1)
	return records[0]
}

func shouldEndWith(r RequestRecord, final Outcome, attempts ...Outcome) {
	got := []Outcome{}
	for _, a := range r.Attempts {
		got = append(got, a.Outcome)
	}
	So(got, ShouldResemble, attempts)
	So(r.Final, ShouldEqual, final)
}

func TestCaller(t *testing.T) {
	Convey("The body of an answer is verified", t, func() {
		for act, want := range map[string]payload.Verdict{
			"answered": payload.Intact, "wrong": payload.WrongOrganisation, "cut": payload.Truncated,
		} {
			h := startHost(act)
			r := sendOne(h, 0)
			shouldEndWith(r, Answered, Answered)
			So(r.Attempts[0].Verdict, ShouldEqual, want)
			h.ln.Close()
		}
	})
	Convey("A retry carries the same key, which begins with the address's prefix, and reports an earlier attempt without a reply", t, func() {
		h := startHost("not_run", "drop", "answered")
		defer h.ln.Close()
		r := sendOne(h, 1)
		shouldEndWith(r, Answered, NotRun, NoReply, Answered)
		So(h.unanswered, ShouldResemble, []string{"", "", "true"})
		So(r.Key, ShouldStartWith, "p-")
		So(h.keys, ShouldResemble, []string{r.Key, r.Key, r.Key})
	})
	Convey("A key that was never sent is generated again for the next address", t, func() {
		gone := startHost()
		gone.ln.Close()
		h := startHost("answered")
		h.closed = gone.address
		defer h.ln.Close()
		r := sendOne(h, 1)
		shouldEndWith(r, Answered, NotSent, Answered)
		So(r.Key, ShouldStartWith, "p-")
	})
	Convey("An unknown outcome is final for a request with a key but is retried for an idempotent request", t, func() {
		h := startHost("unknown")
		defer h.ln.Close()
		shouldEndWith(sendOne(h, 1), Unknown, Unknown)
		shouldEndWith(sendOne(h, 0), Unknown, Unknown, Unknown, Unknown)
	})
	Convey("A reply without an outcome is malformed", t, func() {
		h := startHost("")
		defer h.ln.Close()
		shouldEndWith(sendOne(h, 0), Malformed, Malformed)
	})
}

package upstream

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/standin/payload"
)

// Upstream is one simulated upstream. The exported fields must be set before Start.
type Upstream struct {
	Name             string
	Address          string
	AvailabilityZone string
	Behaviour        Behaviour
	RunLog           *RunLog
	Clock            clock.Clock
	Seed             uint64

	scheduler Scheduler
	listener  reopenableListener
	mu        sync.Mutex // guards rand
	rand      *rand.Rand
}

// Start listens on Address, which it sets to the actual address, and serves in the
// background until Stop.
func (u *Upstream) Start() (err error) {
	defer func() { err = errors.WithMessagef(err, "upstream %s", u.Name) }()
	u.rand = rand.New(rand.NewPCG(u.Seed, 1))
	_, err = u.scheduler.UpdateBehaviour(u.Clock.Now(), func(b *Behaviour) error {
		*b = u.Behaviour
		return nil
	})
	if err != nil {
		return err
	}
	return u.listen()
}

func (u *Upstream) listen() error {
	ln, err := u.listener.open(u.Address)
	if err != nil {
		return err
	}
	u.Address = ln.Addr().String()
	server := &fasthttp.Server{
		Handler:               u.handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                silentLogger{},
	}
	go func() {
		_ = server.Serve(&limitedListener{Listener: ln, scheduler: &u.scheduler, listener: &u.listener})
	}()
	return nil
}

// Stop closes the listener and the open connections.
func (u *Upstream) Stop() { u.listener.close() }

// silentLogger discards the messages of the HTTP library.
type silentLogger struct{}

// Printf does nothing.
func (silentLogger) Printf(string, ...any) {}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/siskin/probe":
		u.probe(ctx)
	case "/siskin/load":
		u.scheduler.UpdateStats(func(s *Stats) { s.LoadReads++ })
		u.setLoadHeader(ctx)
	default:
		u.serve(ctx)
	}
}

func (u *Upstream) setLoadHeader(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Siskin-Load", u.scheduler.ReportedLoad(u.Clock.Now()).String())
}

func (u *Upstream) probe(ctx *fasthttp.RequestCtx) {
	now := u.Clock.Now()
	u.scheduler.CountProbe(now)
	b, _ := u.scheduler.Behaviour(now)
	time.Sleep(millis(b.ProbeMs))
	u.setLoadHeader(ctx)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (u *Upstream) serve(ctx *fasthttp.RequestCtx) {
	r := parseRequest(ctx)
	ctx.Response.Header.Set("Siskin-Request-Id", r.requestID)
	a, refusal := u.scheduler.Admit(u.Clock.Now())
	if refusal != "" {
		u.refuse(ctx, refusal)
		return
	}
	end := u.run(r, a)
	u.scheduler.Release(u.Clock.Now(), a)
	u.reply(ctx, r, end)
}

func (u *Upstream) reply(ctx *fasthttp.RequestCtx, r request, end runResult) {
	ctx.Response.Header.Set("Siskin-Took-Us", strconv.FormatInt(time.Since(r.arrived).Microseconds(), 10))
	ctx.Response.Header.Set("Siskin-Upstream", u.Name)
	switch end {
	case resultCancelled:
		u.scheduler.UpdateStats(func(s *Stats) { s.Cancelled++ })
		ctx.SetConnectionClose()
	case resultDeadline:
		u.refuse(ctx, RefusedDeadline)
	case resultError:
		u.scheduler.UpdateStats(func(s *Stats) { s.Errors++ })
		u.setLoadHeader(ctx)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case resultCut:
		u.cutAnswer(ctx, r)
	default:
		u.setLoadHeader(ctx)
		ctx.SetBody(payload.Body(r.organisation, bodyMarker(r), r.size))
	}
}

// bodyMarker returns the marker from which the body is generated: the idempotency
// key, or the marker of the attempt if there is none.
func bodyMarker(r request) string {
	if r.key != "" {
		return r.key
	}
	return r.marker
}

func (u *Upstream) refuse(ctx *fasthttp.RequestCtx, refusal Refusal) {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set("Siskin-Refused", string(refusal))
	u.setLoadHeader(ctx)
}

// cutAnswer sends a header with the length of the whole body, then half of the body,
// and closes the connection.
func (u *Upstream) cutAnswer(ctx *fasthttp.RequestCtx, r request) {
	body := payload.Body(r.organisation, bodyMarker(r), r.size)
	head := "HTTP/1.1 200 OK\r\nSiskin-Request-Id: " + r.requestID +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte(head))
		_, _ = c.Write(body[:len(body)/2])
	})
}

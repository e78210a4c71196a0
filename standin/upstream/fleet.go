package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// Fleet runs several upstreams in one process, with their control endpoints. The
// exported fields must be set before Run.
type Fleet struct {
	Listen            string   // address of the first; the others follow on consecutive ports
	Control           string   // address of the control endpoints
	Name              string   // name of a single upstream, otherwise the prefix of each name
	Count             int      // number of upstreams
	AvailabilityZones []string // assigned to the upstreams in turn
	Behaviour         Behaviour
	Seed              uint64

	runLog    RunLog
	upstreams map[string]*Upstream
	clock     *clock.System
}

// Name returns the name of the upstream with index i, from 0, of n upstreams whose
// name or prefix is base.
func Name(base string, i, n int) string {
	if n == 1 {
		return base
	}
	return fmt.Sprintf("%s-%02d", base, i+1)
}

// Run starts the upstreams and serves until ctx is done.
func (f *Fleet) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "upstreams") }()
	f.clock = clock.NewSystem()
	if err := f.start(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", f.Control)
	if err != nil {
		return errors.WithMessage(err, "control")
	}
	defer func() { _ = ln.Close() }()
	server := &fasthttp.Server{Handler: f.routes().Handler, Logger: silentLogger{}}
	go func() { _ = server.Serve(ln) }()
	<-ctx.Done()
	for _, u := range f.upstreams {
		u.Stop()
	}
	return nil
}

func (f *Fleet) start() error {
	host, portText, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return err
	}
	f.upstreams = map[string]*Upstream{}
	for i := range f.Count {
		u := &Upstream{
			Name:             Name(f.Name, i, f.Count),
			Address:          net.JoinHostPort(host, strconv.Itoa(port+i)),
			AvailabilityZone: f.AvailabilityZones[i%len(f.AvailabilityZones)],
			Behaviour:        f.Behaviour,
			RunLog:           &f.runLog,
			Clock:            f.clock,
			Seed:             f.Seed + uint64(i),
		}
		if err := u.Start(); err != nil {
			return err
		}
		f.upstreams[u.Name] = u
	}
	return nil
}

func (f *Fleet) routes() *router.Router {
	r := router.New()
	r.POST("/control/upstream/{name}", f.controlUpstream)
	r.GET("/control/counts", f.counts)
	r.GET("/control/runs", f.runs)
	return r
}

// All addresses every upstream of the process in requests to the control endpoints.
const All = "all"

// controlUpstream changes the fields of Behaviour that the body contains and leaves
// the others unchanged.
func (f *Fleet) controlUpstream(ctx *fasthttp.RequestCtx) {
	name, _ := ctx.UserValue("name").(string)
	found := false
	for _, u := range f.upstreams {
		if name != All && name != u.Name {
			continue
		}
		found = true
		if err := u.change(ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	if !found {
		ctx.Error("no such upstream", fasthttp.StatusNotFound)
	}
}

func (u *Upstream) change(body []byte) error {
	changed, err := u.scheduler.UpdateBehaviour(u.Clock.Now(), func(b *Behaviour) error { return json.Unmarshal(body, b) })
	if err != nil {
		return err
	}
	if changed.Closed {
		u.listener.close()
		return nil
	}
	if !u.listener.isOpen() {
		return u.listen()
	}
	return nil
}

// Counts is the body of GET /control/counts.
type Counts struct {
	Upstreams map[string]Stats `json:"upstreams"`
}

func (f *Fleet) counts(ctx *fasthttp.RequestCtx) {
	c := Counts{Upstreams: map[string]Stats{}}
	for name, u := range f.upstreams {
		c.Upstreams[name] = u.scheduler.Stats()
	}
	writeJSON(ctx, c)
}

// Runs is the body of GET /control/runs?from=N.
type Runs struct {
	Runs []Run `json:"runs"`
}

func (f *Fleet) runs(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, Runs{Runs: f.runLog.Runs(ctx.QueryArgs().GetUintOrZero("from"))})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

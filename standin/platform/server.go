package platform

import (
	"context"
	"net"
	"strconv"
	"sync"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// maxBodyBytes is the maximum size of a request body: a transaction or an object.
const maxBodyBytes = 64 << 20

// Server simulates the platform. The exported fields must be set before Run.
type Server struct {
	Listen  string // address of the services and the control endpoints
	Control string // additional address of the control endpoints alone; "" for none
	Seed    uint64
	Faults  Faults // faults in force at the start

	store    Store
	hosts    HostList
	faults   *faultState
	counts   counters
	clock    *clock.System
	listener reopenableListener
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "platform") }()
	if err := s.Faults.Validate(); err != nil {
		return err
	}
	s.clock = clock.NewSystem()
	s.faults = newFaultState(s.Faults, s.Seed)
	s.listener.address = s.Listen
	s.listener.server = newHTTPServer(s.routes().Handler)
	s.listener.server.ConnState = s.listener.track
	if err := s.listener.open(); err != nil {
		return err
	}
	defer s.listener.close(nil)
	if s.Control != "" {
		stop, err := serveControl(s.Control, s.controlRoutes().Handler)
		if err != nil {
			return err
		}
		defer stop()
	}
	<-ctx.Done()
	return nil
}

func newHTTPServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                silentLogger{},
	}
}

// silentLogger discards the messages of the HTTP library, which are about broken
// connections.
type silentLogger struct{}

// Printf does nothing.
func (silentLogger) Printf(string, ...any) {}

func serveControl(address string, h fasthttp.RequestHandler) (stop func(), err error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithMessage(err, "control")
	}
	server := newHTTPServer(h)
	go func() { _ = server.Serve(ln) }()
	return func() { _ = ln.Close() }, nil
}

func (s *Server) routes() *router.Router {
	r := s.controlRoutes()
	r.POST("/v1/read", s.withFaults(s.read))
	r.POST("/v1/read_versions", s.withFaults(s.readVersions))
	r.POST("/v1/transaction", s.withFaults(s.transaction))
	r.GET("/v1/hosts", s.withFaults(s.listHosts))
	r.GET("/v1/objects/{name:*}", s.withFaults(s.getObject))
	r.PUT("/v1/objects/{name:*}", s.withFaults(s.putObject))
	return r
}

func (s *Server) controlRoutes() *router.Router {
	r := router.New()
	r.POST("/control/faults", s.controlFaults)
	r.GET("/control/faults", s.showFaults)
	r.POST("/control/hosts", s.controlHosts)
	r.GET("/control/counts", s.controlCounts)
	r.POST("/control/copy", func(*fasthttp.RequestCtx) { s.store.Copy() })
	r.POST("/control/restore", func(*fasthttp.RequestCtx) { s.store.Restore() })
	return r
}

// withFaults returns h with the faults in force applied to each request.
func (s *Server) withFaults(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		faults, changed := s.faults.get()
		switch faults.Outage {
		case OutageSilent:
			s.counts.held.Add(1)
			<-changed
			closeWithoutReply(ctx)
			return
		case OutageRefuse:
			closeWithoutReply(ctx)
			return
		case OutageError:
			ctx.Error("outage", fasthttp.StatusServiceUnavailable)
			return
		}
		faults.delay()
		h(ctx)
		ctx.Response.Header.Set("Siskin-Store-Era", strconv.FormatUint(s.store.Era(), 10))
	}
}

// closeWithoutReply closes the connection without a reply.
func closeWithoutReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// reopenableListener is a listener that can be closed together with its connections
// and opened again on the same address.
type reopenableListener struct {
	address string
	server  *fasthttp.Server

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
}

// open listens on address unless the listener is open, sets address to the actual
// one, and serves in the background.
func (l *reopenableListener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.address = ln.Addr().String()
	l.ln = ln
	go func() { _ = l.server.Serve(ln) }()
	return nil
}

// close closes the listener and the open connections except keep.
func (l *reopenableListener) close(keep net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	for c := range l.conns {
		if c != keep {
			_ = c.Close()
		}
	}
}

// track adds new connections to conns and removes closed and hijacked ones.
func (l *reopenableListener) track(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		if l.conns == nil {
			l.conns = map[net.Conn]bool{}
		}
		l.conns[c] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(l.conns, c)
	}
}

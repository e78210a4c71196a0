package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
)

var (
	callersOpen      atomic.Int64
	callersAccepted  = metrics.NewCounter("caller_connections_accepted_total")
	requestsUnread   = metrics.NewCounter("requests_malformed_total")
	answersUndone    = metrics.NewCounter("answers_undelivered_total")
	acceptRetryPause = 50 * clock.Millisecond
)

func init() {
	metrics.NewGauge("caller_connections_open", func() float64 { return float64(callersOpen.Load()) })
}

// Server takes callers' connections. Set the fields before Run.
type Server struct {
	ListenAddress string
	Log           *slog.Logger
	// Limits returns what callers are held to at this moment.
	Limits func() config.Limits
	// Handle returns the final answer to a request. ctx ends when the caller left.
	Handle func(ctx context.Context, req *fasthttp.Request) *Response

	ln      net.Listener
	leaving atomic.Bool

	mu     sync.Mutex
	conns  map[*conn]int // with the status for a request that could not be read
	closed bool
}

// Bind opens the listener, so that a port in use is known before anything runs.
func (s *Server) Bind() (err error) {
	s.conns = map[*conn]int{}
	s.ln, err = net.Listen("tcp", s.ListenAddress)
	return errors.WithMessagef(err, "callers' listener %s", s.ListenAddress)
}

// Run accepts connections until Close.
func (s *Server) Run() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn("can't accept a connection", "err", err)
			time.Sleep(acceptRetryPause.Duration())
			continue
		}
		callersAccepted.Inc()
		go s.serveConn(nc)
	}
}

// DisableKeepAlive makes each connection close behind its next answer.
func (s *Server) DisableKeepAlive() { s.leaving.Store(true) }

// CloseIdle closes the connections that wait for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// StopAccepting stops accepting.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.ln.Close()
}

// InFlight returns the number of requests that were read and are not answered.
func (s *Server) InFlight() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		n += int(c.busy.Load())
	}
	return n
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = 0
	callersOpen.Add(1)
	return true
}

func (s *Server) drop(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	callersOpen.Add(-1)
}

// malformed counts a request that could not be read.
func (s *Server) malformed(c *conn, err error) {
	var refusal *readError
	if !errors.As(err, &refusal) {
		return // the connection ended
	}
	requestsUnread.Inc()
	s.Log.Warn("request can't be read", "peer", c.RemoteAddr().String(), "status", refusal.status, "reason", refusal.reason)
	s.mu.Lock()
	s.conns[c] = refusal.status
	s.mu.Unlock()
}

func (s *Server) unread(c *conn) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c]
}

func (s *Server) undelivered(c *conn, req *fasthttp.Request, err error) {
	answersUndone.Inc()
	s.Log.Debug("answer not delivered", "peer", c.RemoteAddr().String(), "uri", string(req.RequestURI()), "err", err)
}

// isEnd tells whether err says that the connection has ended.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

package entry

import (
	"context"
	"fmt"
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
	"siskinpath/core/place"
	"siskinpath/siskinpathd/memory"
	"siskinpath/siskinpathd/tcp"
)

var (
	connectionsOpen      atomic.Int64
	connectionsAccepted  = metrics.NewCounter("caller_connections_accepted_total")
	malformedRequests    = metrics.NewCounter("requests_malformed_total")
	undeliveredResponses = metrics.NewCounter("answers_undelivered_total")
	acceptRetryDelay     = 50 * clock.Millisecond
)

const (
	// acceptQueuedWait is how long no connection may come until the listener is closed, and
	// acceptQueuedTimeout how long that may take.
	acceptQueuedWait    = 2 * clock.Millisecond
	acceptQueuedTimeout = 100 * clock.Millisecond
)

func init() {
	metrics.NewGauge("caller_connections_open", func() float64 { return float64(connectionsOpen.Load()) })
}

// Server accepts callers' connections and serves their requests. Set the exported fields
// before Bind.
type Server struct {
	ListenAddress   string
	Log             *slog.Logger
	Clock           clock.Clock
	RequestIDHeader string // holds the caller's id of a request
	MaxConnections  int    // open at a time
	// Limits returns the limits in force.
	Limits func() config.Limits
	// Bodies limits the bodies of requests that are being read or held.
	Bodies *bodyBudget
	// Headers limits the memory of headers that are being read or held; nil for no limit.
	Headers *memory.Part
	// Unread limits what the kernel holds of responses; nil for no limit.
	Unread *unreadBudget
	// Connections limits the memory of the connections themselves; nil for no limit.
	Connections *memory.Part
	// Handle returns the final response to a request of the caller at an address. ctx is
	// cancelled when the caller has disconnected.
	Handle func(ctx context.Context, req *fasthttp.Request, caller string) *Response
	// DescribeBody returns what a header says of its request; nil if that is not known.
	DescribeBody func(h *fasthttp.RequestHeader) bodyRequest

	ln                *net.TCPListener
	accepted          chan struct{} // closed when no further connection is accepted
	keepAliveDisabled atomic.Bool
	stop              atomic.Pointer[place.Stop] // nil until the host stops

	mu     sync.Mutex
	conns  map[*conn]*readError // open connections; not nil if a request could not be read
	closed bool
}

// Bind opens the listener. It is separate from Run so that a port in use is reported
// before anything else starts.
func (s *Server) Bind() (err error) {
	s.conns, s.accepted = map[*conn]*readError{}, make(chan struct{})
	s.ln, err = tcp.Listen(s.ListenAddress, tcp.Buffers{Send: sendBufferBytes, Receive: receiveBufferBytes})
	return errors.WithMessagef(err, "callers' listener %s", s.ListenAddress)
}

// Run accepts connections until StopAccepting is called.
func (s *Server) Run() {
	defer close(s.accepted)
	for {
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.accept(nc)
		case s.isClosed():
			s.acceptQueued()
			return
		default:
			s.Log.Warn("cannot accept a connection; retrying", "err", err)
			s.closeOne()
			time.Sleep(acceptRetryDelay.Duration())
		}
	}
}

func (s *Server) accept(nc net.Conn) {
	connectionsAccepted.Inc()
	if !s.makeRoom() {
		s.refuseConn(nc)
		return
	}
	c := newConn(s, nc)
	s.addConn(c)
	go c.serve()
}

// acceptQueued accepts the connections that the kernel has made already, and closes the
// listener. The kernel resets those that are left.
func (s *Server) acceptQueued() {
	defer func() { _ = s.ln.Close() }()
	end := time.Now().Add(acceptQueuedTimeout.Duration())
	for {
		asked := time.Now()
		if asked.After(end) || s.ln.SetDeadline(asked.Add(acceptQueuedWait.Duration())) != nil {
			return
		}
		nc, err := s.ln.Accept()
		if err == nil {
			s.accept(nc)
			continue
		}
		if time.Since(asked) < 2*acceptQueuedWait.Duration() {
			return
		} // else the deadline may have passed before the kernel was asked
	}
}

// DisableKeepAlive makes each connection close after its next response.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

// CloseIdle closes idle connections, and the others as soon as they are idle.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// StopAccepting closes the listener after the connections that have been made. Open connections
// continue.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.ln.SetDeadline(time.Unix(1, 0)) // interrupts Accept
	<-s.accepted
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// InFlight returns the number of requests that are being read or have not been answered.
func (s *Server) InFlight() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		n += int(c.inFlight.Load())
	}
	return n
}

// OpenConnections returns the number of open connections, those that the callers still have
// to close included.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = nil
	connectionsOpen.Add(1)
}

func (s *Server) removeConn(c *conn) {
	s.Unread.remove(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	connectionsOpen.Add(-1)
	s.Connections.Release(connectionBytes)
	close(c.removed)
}

// recordMalformed counts and logs a request that could not be read, and keeps the error
// for its response. h holds what was read of its header.
func (s *Server) recordMalformed(c *conn, h *fasthttp.RequestHeader, err error) {
	var readErr *readError
	if !errors.As(err, &readErr) {
		return // the connection has ended
	}
	switch readErr {
	case errBodyMemory:
		bodiesRefused.Inc()
	case errHeaderMemory:
		headersRefused.Inc()
	case errBodyStopping:
	default:
		malformedRequests.Inc()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`requests_total{route="none",status="%d",reason=%q}`, readErr.status, readErr.reason)).Inc()
	s.Log.Warn("request can't be read", "id", string(h.Peek(s.RequestIDHeader)), "peer", c.RemoteAddr().String(), "status", readErr.status,
		"reason", readErr.reason, "content_length", h.ContentLength())
	s.mu.Lock()
	s.conns[c] = readErr
	s.mu.Unlock()
}

// readErrorResponse returns the response to the request that could not be read.
func (s *Server) readErrorResponse(c *conn) *Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.conns[c]
	return &Response{Status: e.status, Reason: e.reason, RetryAfter: e.retryAfter}
}

func (s *Server) recordUndelivered(c *conn, req *fasthttp.Request, err error) {
	undeliveredResponses.Inc()
	if c.aborted.Load() {
		s.Log.Info("response cut, as its client took it too slowly", "id", string(req.Header.Peek(s.RequestIDHeader)),
			"peer", c.RemoteAddr().String(), "bytes_sent", c.sent.bytes.Load())
		return
	}
	s.Log.Debug("response not delivered", "peer", c.RemoteAddr().String(), "uri", string(req.RequestURI()), "err", err)
}

// isConnectionEnd reports whether err means that the connection has ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

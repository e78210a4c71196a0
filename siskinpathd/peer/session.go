package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"siskinpath/core/membership"
	"siskinpath/siskinpathd/mux"
	"siskinpath/siskinpathd/peer/peerpb"
)

// session is one TCP connection to another host.
type session struct {
	transport *Transport
	target    *target // nil if the other side dialled

	knownIncarnations []membership.Incarnation // incarnations known to listen at the address before it was dialled
	aliveAfter        uint64                   // the other side was alive after this point of Transport.tick

	mux           *mux.Session
	outbox        outbox
	selfSent      bool          // a heartbeat with Self was sent; used only by writeControl
	outgoingCalls chan struct{} // semaphore of calls sent on this link
	incomingCalls chan struct{} // semaphore of calls served on this link
	responded     atomic.Bool
	identified    chan struct{} // closed when peer is set
	peer          identity      // guarded by transport.mu until identified is closed
	controlOpened atomic.Bool   // the other side has opened its control stream
}

// identity is the host and incarnation that the other side states.
type identity struct {
	id          string
	incarnation membership.Incarnation
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxCallsPerLink
	cfg.KeepAliveInterval = keepAlive.Duration()
	cfg.ConnectionWriteTimeout = writeTimeout.Duration()
	cfg.StreamOpenTimeout = streamTimeout.Duration()
	cfg.StreamCloseTimeout = streamTimeout.Duration()
	cfg.LogOutput = io.Discard // errors are counted by this package
	return cfg
}

// run serves the connection until either side closes it or ctx is done.
func (s *session) run(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.identified = make(chan struct{})
	s.outbox.pending = make(chan struct{}, 1)
	s.outgoingCalls = make(chan struct{}, maxCallsPerLink)
	s.incomingCalls = make(chan struct{}, maxCallsPerLink)
	opened, err := s.newMux(&countingConn{Conn: conn, count: &s.transport.count})
	if err != nil {
		_ = conn.Close()
		return
	}
	s.mux = opened
	stop := context.AfterFunc(ctx, func() { _ = s.mux.Close() })
	defer stop()

	var wg sync.WaitGroup
	wg.Go(func() { defer cancel(); s.writeControl(ctx) })
	wg.Go(func() { defer cancel(); s.expectIdentity(ctx) })
	s.acceptStreams(ctx, &wg)
	cancel()
	_ = s.mux.Close()
	s.transport.remove(s)
	wg.Wait()
}

func (s *session) newMux(conn net.Conn) (*mux.Session, error) {
	if s.target != nil {
		return mux.Client(conn, muxConfig())
	}
	return mux.Server(conn, muxConfig())
}

// expectIdentity returns, which closes the session, if the other side does not
// identify itself within handshakeTimeout. Otherwise it waits for ctx to be done.
func (s *session) expectIdentity(ctx context.Context) {
	timer := time.NewTimer(handshakeTimeout.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		s.transport.count.handshakeTimeouts.Inc()
		return
	case <-s.identified:
	case <-ctx.Done():
	}
	<-ctx.Done()
}

func (s *session) acceptStreams(ctx context.Context, wg *sync.WaitGroup) {
	for {
		stream, err := s.mux.Accept(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			defer func() { _ = stream.Close() }()
			s.serveStream(ctx, stream)
		})
	}
}

// serveStream reads the first message of a stream and serves the stream
// accordingly. A truncated stream is a call that was given up before it was fully
// sent. Any other read error closes the session, since no data on a corrupt link
// can be trusted.
func (s *session) serveStream(ctx context.Context, stream *mux.Stream) {
	stream.SetReadDeadline(time.Now().Add(streamTimeout.Duration()))
	r := getReader(stream)
	open := &peerpb.Open{}
	n, err := readFrame(r, open, s.transport.maxCallFrame())
	if err != nil {
		putReader(r)
		s.handleReadError(err)
		return
	}
	stream.SetReadDeadline(time.Time{})
	switch kind := open.Kind.(type) {
	case *peerpb.Open_Control:
		s.transport.count.controlReceived.Add(n)
		s.readControl(ctx, r, kind.Control)
		putReader(r)
	case *peerpb.Open_Call:
		s.transport.count.callReceived.Add(n)
		putReader(r) // nothing comes after the request
		s.serveCall(ctx, stream, kind.Call)
	default:
		putReader(r)
		s.closeCorrupt(errors.New("stream of unknown kind"))
	}
}

// handleReadError closes the session as corrupt, unless the stream was truncated.
func (s *session) handleReadError(err error) {
	if !isTruncation(err) {
		s.closeCorrupt(err)
	}
}

// closeCorrupt counts and logs a corrupt frame and closes the session.
func (s *session) closeCorrupt(err error) {
	s.transport.count.corrupt.Inc()
	s.transport.Logger.Warn("peer link closed: corrupt frame", "peer", s.mux.RemoteAddr().String(), "error", err.Error())
	_ = s.mux.Close()
}

// isTruncation reports whether err means that a stream ended early or timed out, as
// opposed to having invalid content.
func isTruncation(err error) bool {
	var timeout net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) ||
		(errors.As(err, &timeout) && timeout.Timeout())
}

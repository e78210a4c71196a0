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
	"siskinpath/siskinpathd/peer/peerpb"
)

// session is one TCP connection to another host.
type session struct {
	link   *Transport
	target *target // nil when the other side dialled

	known []membership.Incarnation // those that listened at the address before it was dialled
	began uint64                   // the other side was alive after this point of link.tick

	mux        *yamux.Session
	out        outbox
	introduced bool          // by the writer of the control stream: a heartbeat told who this host is
	calls      chan struct{} // one place for each call opened here
	serving    chan struct{} // one place for each call served here
	answered   atomic.Bool
	identified chan struct{} // closed when peer is set
	peer       identity      // under link.mu until identified is closed
	controlled atomic.Bool   // the other side has opened its control stream
}

// identity is who the other side says it is.
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
	cfg.LogOutput = io.Discard // the counters tell
	return cfg
}

// run works the connection until either side ends it or ctx is done.
func (s *session) run(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.identified = make(chan struct{})
	s.out.signal = make(chan struct{}, 1)
	s.calls = make(chan struct{}, maxCallsPerLink)
	s.serving = make(chan struct{}, maxCallsPerLink)
	mux, err := s.newMux(&countedConn{Conn: conn, count: &s.link.count})
	if err != nil {
		_ = conn.Close()
		return
	}
	s.mux = mux
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()

	var wg sync.WaitGroup
	wg.Go(func() { defer cancel(); s.writeControl(ctx) })
	wg.Go(func() { defer cancel(); s.expectIdentity(ctx) })
	s.acceptStreams(ctx, &wg)
	cancel()
	_ = mux.Close()
	s.link.remove(s)
	wg.Wait()
}

func (s *session) newMux(conn net.Conn) (*yamux.Session, error) {
	if s.target != nil {
		return yamux.Client(conn, muxConfig())
	}
	return yamux.Server(conn, muxConfig())
}

// expectIdentity ends the session when the other side doesn't say who it is in
// time, and otherwise waits for the session's end.
func (s *session) expectIdentity(ctx context.Context) {
	timer := time.NewTimer(handshakeTimeout.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		s.link.count.handshakeTimeouts.Inc()
		return
	case <-s.identified:
	case <-ctx.Done():
	}
	<-ctx.Done()
}

func (s *session) acceptStreams(ctx context.Context, wg *sync.WaitGroup) {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			defer func() { _ = stream.Close() }()
			s.serveStream(ctx, stream)
		})
	}
}

// serveStream reads the first message of a stream and does what it says. A
// stream that is cut off is a call given up before it was whole. Anything else
// that can't be read ends the session, since nothing on it can be trusted.
func (s *session) serveStream(ctx context.Context, stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(streamTimeout.Duration()))
	r := borrowReader(stream)
	open := &peerpb.Open{}
	n, err := readFrame(r, open, s.link.maxCallFrame())
	if err != nil {
		returnReader(r)
		s.unread(err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch kind := open.Kind.(type) {
	case *peerpb.Open_Control:
		s.link.count.controlReceived.Add(n)
		s.readControl(ctx, r, kind.Control)
		returnReader(r)
	case *peerpb.Open_Call:
		s.link.count.callReceived.Add(n)
		returnReader(r) // nothing comes after the request
		s.serveCall(ctx, stream, kind.Call)
	default:
		returnReader(r)
		s.broken(errors.New("stream opened for nothing known"))
	}
}

// unread ends the session unless the stream was merely cut off.
func (s *session) unread(err error) {
	if !cutOff(err) {
		s.broken(err)
	}
}

// broken ends the session after a frame that can't be right.
func (s *session) broken(err error) {
	s.link.count.corrupt.Inc()
	s.link.Logger.Warn("peer link closed: corrupt frame", "peer", s.mux.RemoteAddr().String(), "error", err.Error())
	_ = s.mux.Close()
}

// cutOff tells whether err is the early end of a stream and not bad content.
func cutOff(err error) bool {
	var timeout net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) ||
		(errors.As(err, &timeout) && timeout.Timeout())
}

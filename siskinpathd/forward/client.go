// Package forward passes requests to other hosts that reach the upstreams, over yamux
// sessions that are opened when they are needed.
package forward

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/mux"
)

const (
	// dialTimeout is how long another host has to accept a session: several round trips
	// to another availability zone.
	dialTimeout = 300 * clock.Millisecond
	// idleTimeout is how long a session without requests is kept. An idle session sends
	// nothing, but for the server's rare checks.
	idleTimeout = 30 * clock.Second
	// keepAlive is how often a client checks a session in use, and writeTimeout how long
	// the other host has to take bytes and to answer a check.
	keepAlive    = clock.Second
	writeTimeout = clock.Second
	// serverKeepAlive is how often a server checks a session. Only this ends sessions
	// whose client has vanished, and an idle one costs traffic for it.
	serverKeepAlive = 10 * clock.Second
	// streamWindow is how much yamux sends on a new stream before the other host reads.
	streamWindow = 256 << 10
)

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// Timeouts are how long another host has. Where one is 0, the package's own is used.
type Timeouts struct {
	Dial      clock.Millis // to accept a session
	KeepAlive clock.Millis // to end a call before the session is checked
	Write     clock.Millis // to take bytes, and to answer a check
}

func (t Timeouts) dial() time.Duration      { return cmp.Or(t.Dial, dialTimeout).Duration() }
func (t Timeouts) keepAlive() time.Duration { return cmp.Or(t.KeepAlive, keepAlive).Duration() }
func (t Timeouts) write() time.Duration     { return cmp.Or(t.Write, writeTimeout).Duration() }

func muxConfig(t Timeouts) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = serverKeepAlive.Duration()
	cfg.ConnectionWriteTimeout = t.write()
	cfg.LogOutput = io.Discard // the caller of Client logs errors
	return cfg
}

// Client passes requests to other hosts. The zero value is ready for use.
type Client struct {
	Timeouts Timeouts

	mu       sync.Mutex
	sessions map[string]*session // by address
}

// session is a connection to another host.
type session struct {
	timeouts Timeouts
	dialled  chan struct{} // closed when mux or err is set
	mux      *mux.Session
	err      error

	mu       sync.Mutex
	calls    int
	idle     *time.Timer // closes the session; nil before the first call has ended
	check    *time.Timer // checks the session; nil while no call is in flight
	checking bool        // a check has not been answered yet
	tokens   *tokenStream
}

// Call passes a request to the host at an address and returns its reply. sent reports
// whether the host may have got the request. When ctx ends, the host is told to give up,
// and Call returns an error even if a reply arrives at that moment.
func (c *Client) Call(ctx context.Context, address string, req *forwardpb.Request) (reply *forwardpb.Reply, sent bool, err error) {
	return c.CallReserved(ctx, address, req, nil)
}

// CallReserved is like Call, but reserves memory for the reply. reserve may be nil.
func (c *Client) CallReserved(ctx context.Context, address string, req *forwardpb.Request, reserve Reserve) (reply *forwardpb.Reply, sent bool, err error) {
	defer func() { err = errors.WithMessagef(err, "forward to %s", address) }()
	s, err := c.session(ctx, address)
	if err != nil {
		return nil, false, err
	}
	defer c.release(address, s)
	stream, err := s.open(ctx)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	if err = exchange(stream, req, reserve, &reply); ctx.Err() != nil {
		// No reply in time may mean that the session is dead, which is worth a check
		// now: calls that end sooner than keepAlive would not find out.
		go s.ping()
		return nil, true, ctx.Err()
	}
	return reply, true, err
}

// exchange sends a request on a stream and sets reply if there is one.
func exchange(stream *mux.Stream, req *forwardpb.Request, reserve Reserve, reply **forwardpb.Reply) error {
	encoded, err := encode(req)
	if err != nil {
		return err
	}
	if len(encoded) <= streamWindow {
		if _, err := stream.Write(encoded); err != nil {
			return err
		}
		return readReply(stream, reserve, reply)
	}
	// The other host may stop reading. It closes the stream then, but yamux goes on waiting
	// for room in the window: only a read tells.
	written := make(chan error, 1)
	go func() {
		_, err := stream.Write(encoded)
		if err != nil {
			stream.SetReadDeadline(past)
		}
		written <- err
	}()
	err = readReply(stream, reserve, reply)
	stream.SetWriteDeadline(past)
	select {
	case writeErr := <-written:
		return cmp.Or(writeErr, err)
	default:
		return err
	}
}

func readReply(stream *mux.Stream, reserve Reserve, reply **forwardpb.Reply) error {
	m := &forwardpb.Reply{}
	if err := readReserved(bufio.NewReader(stream), m, reserve); err != nil {
		return err
	}
	*reply = m
	return nil
}

// open opens a stream. yamux blocks without regard to ctx when the other host has not
// accepted 256 earlier streams, or does not take bytes.
func (s *session) open(ctx context.Context) (stream *mux.Stream, err error) {
	type result struct {
		stream *mux.Stream
		err    error
	}
	opened := make(chan result, 1)
	go func() {
		stream, err := s.mux.Open()
		if err != nil {
			_ = s.mux.Close()
		}
		opened <- result{stream, err}
	}()
	select {
	case r := <-opened:
		return r.stream, r.err
	case <-ctx.Done():
	}
	go func() {
		if r := <-opened; r.err == nil {
			_ = r.stream.Close()
		}
	}()
	go s.ping()
	return nil, ctx.Err()
}

// session returns the session to a host, and opens it if there is none.
func (c *Client) session(ctx context.Context, address string) (s *session, err error) {
	c.mu.Lock()
	if c.sessions == nil {
		c.sessions = map[string]*session{}
	}
	s = c.sessions[address]
	if s == nil || s.closed() {
		s = &session{timeouts: c.Timeouts, dialled: make(chan struct{})}
		c.sessions[address] = s
		go s.dial(address)
	}
	s.acquire()
	c.mu.Unlock()
	select {
	case <-s.dialled:
		err = s.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		c.release(address, s)
		return nil, err
	}
	return s, nil
}

// acquire begins a call.
func (s *session) acquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.check == nil {
		s.check = time.AfterFunc(s.timeouts.keepAlive(), s.checkInUse)
	}
}

// checkInUse checks the session every keepAlive while calls are in flight.
func (s *session) checkInUse() {
	s.mu.Lock()
	inUse := s.calls > 0 && !s.closed()
	if inUse {
		s.check.Reset(s.timeouts.keepAlive())
	} else {
		s.check = nil
	}
	s.mu.Unlock()
	if inUse {
		s.ping()
	}
}

// ping closes the session if the other host does not answer within writeTimeout.
func (s *session) ping() {
	select {
	case <-s.dialled:
	default:
		return
	}
	s.mu.Lock()
	skip := s.err != nil || s.checking
	s.checking = s.checking || !skip
	s.mu.Unlock()
	if skip {
		return
	}
	if _, err := s.mux.Ping(); err != nil {
		_ = s.mux.Close()
	}
	s.mu.Lock()
	s.checking = false
	s.mu.Unlock()
}

// closed reports whether the session has failed or been closed.
func (s *session) closed() bool {
	select {
	case <-s.dialled:
		return s.err != nil || s.mux.IsClosed()
	default:
		return false
	}
}

func (s *session) dial(address string) {
	defer close(s.dialled)
	nc, err := net.DialTimeout("tcp", address, s.timeouts.dial())
	if err != nil {
		s.err = err
		return
	}
	cfg := muxConfig(s.timeouts)
	cfg.EnableKeepAlive = false // see checkInUse
	if s.mux, s.err = mux.Client(nc, cfg); s.err != nil {
		_ = nc.Close()
	}
}

// release ends a call. The last one leaves the session open for idleTimeout.
func (c *Client) release(address string, s *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.calls > 0 {
		return
	}
	if s.idle != nil {
		s.idle.Stop()
	}
	s.idle = time.AfterFunc(idleTimeout.Duration(), func() { c.closeIdle(address, s) })
}

// closeIdle closes a session that is not in use.
func (c *Client) closeIdle(address string, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls > 0 {
		return
	}
	if c.sessions[address] == s {
		delete(c.sessions, address)
	}
	select {
	case <-s.dialled:
		if s.mux != nil {
			_ = s.mux.Close()
		}
	default: // the dial ends by itself, and nobody waits for it
	}
}

// Package forward passes requests to other hosts that reach the upstreams, over yamux
// sessions that are opened when they are needed.
package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/forward/forwardpb"
)

const (
	// dialTimeout is how long another host has to accept a session: several round trips
	// to another availability zone.
	dialTimeout = 300 * clock.Millisecond
	// idleTimeout is how long a session without requests is kept.
	idleTimeout = 10 * clock.Second
	// keepAlive is how often a session is checked, and writeTimeout how long the other
	// host has to take bytes and to answer a check.
	keepAlive    = clock.Second
	writeTimeout = clock.Second
	// maxMessageBytes limits a request or reply.
	maxMessageBytes = 65 << 20
)

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive.Duration()
	cfg.ConnectionWriteTimeout = writeTimeout.Duration()
	cfg.LogOutput = io.Discard // the caller of Client logs errors
	return cfg
}

// Client passes requests to other hosts. The zero value is ready for use.
type Client struct {
	mu       sync.Mutex
	sessions map[string]*session // by address
}

// session is a connection to another host.
type session struct {
	dialled chan struct{} // closed when mux or err is set
	mux     *yamux.Session
	err     error

	mu    sync.Mutex
	calls int
	idle  *time.Timer // closes the session; nil before the first call has ended
}

// Call passes a request to the host at an address and returns its reply. sent reports
// whether the host may have got the request. When ctx ends, the host is told to give up.
func (c *Client) Call(ctx context.Context, address string, req *forwardpb.Request) (reply *forwardpb.Reply, sent bool, err error) {
	defer func() { err = errors.WithMessagef(err, "forward to %s", address) }()
	s, err := c.session(ctx, address)
	if err != nil {
		return nil, false, err
	}
	defer c.release(address, s)
	stream, err := s.mux.OpenStream()
	if err != nil {
		_ = s.mux.Close()
		return nil, false, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})
	defer stop()
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	if err = write(stream, req); err != nil {
		return nil, true, err
	}
	reply = &forwardpb.Reply{}
	if err = read(stream, reply); err != nil {
		return nil, true, err
	}
	return reply, true, nil
}

// session returns the session to a host, and opens it if there is none.
func (c *Client) session(ctx context.Context, address string) (s *session, err error) {
	c.mu.Lock()
	if c.sessions == nil {
		c.sessions = map[string]*session{}
	}
	s = c.sessions[address]
	if s == nil || s.closed() {
		s = &session{dialled: make(chan struct{})}
		c.sessions[address] = s
		go s.dial(address)
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
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
	nc, err := net.DialTimeout("tcp", address, dialTimeout.Duration())
	if err != nil {
		s.err = err
		return
	}
	if s.mux, s.err = yamux.Client(nc, muxConfig()); s.err != nil {
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

func write(w io.Writer, m proto.Message) (err error) {
	buffered := bufio.NewWriter(w)
	if _, err = protodelim.MarshalTo(buffered, m); err != nil {
		return err
	}
	return buffered.Flush()
}

func read(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(bufio.NewReader(r), m)
}

// Package mux opens yamux sessions whose streams end with them.
//
// A yamux session that is being closed wakes the reads and writes of its streams before it
// marks the streams as closed, and waits for its own reader in between. Until that has
// returned, a woken read or write goes round without waiting, and may keep the processor
// from the reader. A Session therefore ends its streams before yamux learns that the
// connection is lost.
package mux

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// Session is a yamux session.
type Session struct {
	mux *yamux.Session

	mu      sync.Mutex
	lost    bool
	streams map[*Stream]struct{} // those that have not ended
}

// Client begins a session on a connection that this side has opened.
func Client(nc net.Conn, cfg *yamux.Config) (*Session, error) { return begin(nc, cfg, yamux.Client) }

// Server begins a session on a connection that the other side has opened.
func Server(nc net.Conn, cfg *yamux.Config) (*Session, error) { return begin(nc, cfg, yamux.Server) }

func begin(nc net.Conn, cfg *yamux.Config, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (s *Session, err error) {
	s = &Session{streams: map[*Stream]struct{}{}}
	if s.mux, err = start(&conn{Conn: nc, lost: s.lose}, cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// conn reports that it is lost before it returns an error or closes.
type conn struct {
	net.Conn
	lost func()
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b); err != nil {
		c.lost()
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (n int, err error) {
	if n, err = c.Conn.Write(b); err != nil {
		c.lost()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.lost()
	return c.Conn.Close()
}

// lose ends all streams.
func (s *Session) lose() {
	s.mu.Lock()
	streams := s.streams
	s.lost, s.streams = true, nil
	s.mu.Unlock()
	for stream := range streams {
		stream.end(yamux.ErrSessionShutdown)
	}
}

// Open opens a stream. It blocks while the other side takes no streams or no bytes.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return s.add(stream), nil
}

// Accept waits for a stream that the other side opens.
func (s *Session) Accept(ctx context.Context) (*Stream, error) {
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	return s.add(stream), nil
}

func (s *Session) add(stream *yamux.Stream) *Stream {
	added := &Stream{session: s, mux: stream}
	s.mu.Lock()
	lost := s.lost
	if !lost {
		s.streams[added] = struct{}{}
	}
	s.mu.Unlock()
	if lost {
		added.end(yamux.ErrSessionShutdown)
	}
	return added
}

func (s *Session) remove(stream *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// Close ends all streams and closes the session and its connection.
func (s *Session) Close() error {
	s.lose()
	return s.mux.Close()
}

// Ping asks the other side for an answer and returns how long that took.
func (s *Session) Ping() (time.Duration, error) { return s.mux.Ping() }

// Done is closed when the session has failed or been closed.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// IsClosed reports whether the session has failed or been closed.
func (s *Session) IsClosed() bool { return s.mux.IsClosed() }

// NumStreams returns the number of open streams.
func (s *Session) NumStreams() int { return s.mux.NumStreams() }

// RemoteAddr returns the address of the other side.
func (s *Session) RemoteAddr() net.Addr { return s.mux.RemoteAddr() }

// Stream is a stream of a session. Its reads and writes end when it is closed or the session
// is lost. What had arrived before can still be read.
type Stream struct {
	session *Session
	mux     *yamux.Stream

	mu    sync.Mutex
	ended error // why the deadlines stay in the past
}

// Read reads from the stream.
func (s *Stream) Read(b []byte) (n int, err error) {
	n, err = s.mux.Read(b)
	return n, s.reason(err)
}

// Write writes to the stream.
func (s *Stream) Write(b []byte) (n int, err error) {
	n, err = s.mux.Write(b)
	return n, s.reason(err)
}

// reason returns why the stream has ended in place of an error that follows from it.
func (s *Stream) reason(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return s.ended
	}
	return err
}

// end ends all reads and writes.
func (s *Stream) end(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return
	}
	s.ended = reason
	_ = s.mux.SetDeadline(past)
}

// Close ends the stream and tells the other side. It may block while the other side takes no
// bytes.
func (s *Stream) Close() error {
	s.end(yamux.ErrStreamClosed)
	s.session.remove(s)
	return s.mux.Close()
}

// SetDeadline limits the reads and writes of a stream that has not ended.
func (s *Stream) SetDeadline(t time.Time) { s.limit(s.mux.SetDeadline, t) }

// SetReadDeadline limits the reads of a stream that has not ended.
func (s *Stream) SetReadDeadline(t time.Time) { s.limit(s.mux.SetReadDeadline, t) }

// SetWriteDeadline limits the writes of a stream that has not ended.
func (s *Stream) SetWriteDeadline(t time.Time) { s.limit(s.mux.SetWriteDeadline, t) }

func (s *Stream) limit(set func(time.Time) error, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		_ = set(t)
	}
}

// RemoteAddr returns the address of the other side.
func (s *Stream) RemoteAddr() net.Addr { return s.mux.RemoteAddr() }

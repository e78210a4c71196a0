// Package tcp listens for connections within limits.
package tcp

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// acceptRetryDelay is the pause after a connection that could not be accepted, mostly for lack
// of descriptors.
const acceptRetryDelay = 50 * clock.Millisecond

var connectionsClosed = metrics.NewCounter("listener_connections_closed_total")

// Listener is a listener with a limit on open connections. Beyond it, a new connection takes
// the place of the one on which nothing has been read or written for longest. An error of the
// kernel does not end it. Set the exported fields before use.
type Listener struct {
	net.Listener
	Limit int // connections
	Clock clock.Clock
	Log   *slog.Logger

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept waits for a connection. It returns an error only if the listener has been closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.Log.Warn("cannot accept a connection; retrying", "address", l.Addr().String(), "err", err)
			l.closeOldest()
			time.Sleep(acceptRetryDelay.Duration())
			continue
		}
		return l.add(nc), nil
	}
}

func (l *Listener) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, listener: l}
	c.touch()
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*conn]struct{}{}
	}
	full := len(l.conns) >= l.Limit
	l.mu.Unlock()
	if full {
		l.closeOldest()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) closeOldest() {
	l.mu.Lock()
	var oldest *conn
	for c := range l.conns {
		if oldest == nil || c.used.Load() < oldest.used.Load() {
			oldest = c
		}
	}
	open := len(l.conns)
	l.mu.Unlock()
	if oldest == nil {
		return
	}
	connectionsClosed.Inc()
	l.Log.Info("connection closed to make room", "address", l.Addr().String(), "peer", oldest.RemoteAddr().String(),
		"for_ms", l.Clock.Now()-clock.Millis(oldest.used.Load()), "open", open, "limit", l.Limit)
	_ = oldest.Close()
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn is a connection that records when it was used last.
type conn struct {
	net.Conn
	listener *Listener
	used     atomic.Int64 // clock.Millis
}

func (c *conn) touch() { c.used.Store(int64(c.listener.Clock.Now())) }

// Read reads from the connection.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.touch()
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.touch()
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

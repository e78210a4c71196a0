// Package upstream speaks HTTP/1.1 to upstreams over connections that it owns
// itself, so that two things are always known: whether a byte of a request was
// written, and that closing the connection cancels the request.
package upstream

import (
	"cmp"
	"context"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// DefaultIdleTimeout is how long an unused connection is kept.
const DefaultIdleTimeout = 60 * clock.Second

var (
	connectionsOpened = metrics.NewCounter("upstream_connections_opened_total")
	connectionsStale  = metrics.NewCounter("upstream_connections_found_stale_total")
)

// errNoConnection says that the connection limit is reached.
var errNoConnection = errors.New("connection limit of the upstream reached; raise connections in its row")

// Pool keeps the connections of this host to one upstream.
type Pool struct {
	Address        string
	MaxConnections int // 0 means no limit
	DialTimeout    clock.Millis
	Clock          clock.Clock
	Dialect        *Dialect     // nil means Siskin
	IdleTimeout    clock.Millis // how long an unused connection is kept; 0 means IdleAfter
	// ReplyGracePeriod is how long after a request's deadline its connection waits for the
	// reply, when whoever asked ends it by its context.
	ReplyGracePeriod clock.Millis

	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   int
	closed bool
}

func (p *Pool) dialect() *Dialect {
	if p.Dialect == nil {
		return Siskin
	}
	return p.Dialect
}

// keeps tells whether an unused connection may still be used.
func (p *Pool) keeps(c *conn) bool {
	limit := cmp.Or(p.IdleTimeout, DefaultIdleTimeout)
	if c.kept > 0 {
		limit = min(limit, c.kept)
	}
	return p.Clock.Now()-c.usedAt < limit
}

// SetMaxConnections changes the limit. Connections above it close when they
// come back.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	p.MaxConnections = n
	p.mu.Unlock()
}

// get returns a connection on which nothing has been sent since its last reply.
func (p *Pool) get(ctx context.Context) (c *conn, err error) {
	for {
		c = p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if p.keeps(c) && c.alive() {
			return c, nil
		}
		connectionsStale.Inc()
		p.discard(c)
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (c *conn, err error) {
	defer func() { err = errors.WithMessagef(err, "connect to upstream %s", p.Address) }()
	if !p.reserve() {
		return nil, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout.Duration())
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		p.release()
		return nil, err
	}
	connectionsOpened.Inc()
	return newConn(nc), nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxConnections > 0 && p.open >= p.MaxConnections {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put hands back a connection that is in step and may be used again.
func (p *Pool) put(c *conn) {
	c.usedAt = p.Clock.Now()
	p.mu.Lock()
	if p.closed || (p.MaxConnections > 0 && p.open > p.MaxConnections) {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection. Whatever the upstream was doing on it is
// cancelled.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && !p.keeps(p.idle[0]) {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// Close closes the idle connections; those in use close when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Package upstream is an HTTP/1.1 client for upstreams. It manages its own
// connections for two reasons: it must know whether any byte of a request was
// written, and closing a connection must cancel the request in flight on it.
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

// DefaultIdleTimeout is how long an idle connection is kept if the pool sets no
// IdleTimeout.
const DefaultIdleTimeout = 60 * clock.Second

var (
	connectionsOpened  = metrics.NewCounter("upstream_connections_opened_total")
	connectionsLacking = metrics.NewCounter("upstream_connections_not_opened_total") // for lack of descriptors or memory
	connectionsStale   = metrics.NewCounter("upstream_connections_found_stale_total")
)

// Errors of connections that are not opened. Nothing has been sent.
var (
	errConnectionLimit     = errors.New("connection limit of the upstream reached; raise connections in its row")
	errHostConnectionLimit = errors.New("this host has as many connections to upstreams as its descriptors and memory allow")
)

// Pool manages the connections of this host to one upstream.
type Pool struct {
	Address        string
	MaxConnections int // 0 means no limit
	DialTimeout    clock.Millis
	Clock          clock.Clock
	Dialect        *Dialect     // nil means Siskin
	IdleTimeout    clock.Millis // how long an idle connection is kept if the upstream announces no time-out of its own; 0 means DefaultIdleTimeout
	// ReplyGracePeriod is how long past the deadline of a request its connection may
	// still read the reply. It serves callers that end attempts through the context.
	ReplyGracePeriod clock.Millis
	Replies          *ReplyBudget     // limits the replies; nil means no limit
	Connections      *ConnectionLimit // limits the connections of all pools; nil means no limit

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

// withinIdleTimeout reports whether an idle connection may still be used.
func (p *Pool) withinIdleTimeout(c *conn) bool {
	return p.Clock.Now()-c.lastUsed < cmp.Or(c.peerIdleTimeout, p.IdleTimeout, DefaultIdleTimeout)
}

// SetMaxConnections changes the limit. Excess connections are closed when they are
// returned to the pool.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	p.MaxConnections = n
	p.mu.Unlock()
}

// get returns a connection on which no data has been sent or received since its last
// reply. It dials a new one if no idle connection is usable.
func (p *Pool) get(ctx context.Context) (c *conn, err error) {
	for {
		c = p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if p.withinIdleTimeout(c) && c.isUsable() {
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
	if !p.Connections.take() {
		connectionsLacking.Inc()
		return nil, errHostConnectionLimit
	}
	if !p.reserve() {
		p.Connections.release()
		return nil, errConnectionLimit
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
	p.Connections.release()
}

// CloseIdle closes the connection that has been idle for longest, and reports whether there was
// one.
func (p *Pool) CloseIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	p.discard(c)
	return true
}

// put returns a reusable connection to the pool.
func (p *Pool) put(c *conn) {
	c.lastUsed = p.Clock.Now()
	p.mu.Lock()
	if p.closed || (p.MaxConnections > 0 && p.open > p.MaxConnections) {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection, which cancels any request in flight on it.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// Sweep closes connections whose idle timeout has passed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var expired []*conn
	for len(p.idle) > 0 && !p.withinIdleTimeout(p.idle[0]) {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// Close closes the idle connections. Connections in use are closed when they are
// returned.
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

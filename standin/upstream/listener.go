package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// port is a listener that can be closed with its connections and opened again
// on the same address.
type port struct {
	mu    sync.Mutex
	ln    net.Listener
	conns map[*watchedConn]bool
}

// open listens on address unless the port is open.
func (p *port) open(address string) (ln net.Listener, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil, errors.New("open already")
	}
	p.ln, err = net.Listen("tcp", address)
	return p.ln, err
}

func (p *port) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ln != nil
}

// close refuses new connections and closes the open ones.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln == nil {
		return
	}
	_ = p.ln.Close()
	p.ln = nil
	for c := range p.conns {
		_ = c.Conn.Close()
	}
}

func (p *port) add(c *watchedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*watchedConn]bool{}
	}
	p.conns[c] = true
}

func (p *port) remove(c *watchedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// limitedListener closes connections above the engine's limit at once.
type limitedListener struct {
	net.Listener
	engine *Scheduler
	port   *port
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if w := l.admit(c); w != nil {
			go w.pump()
			return w, nil
		}
		_ = c.Close()
	}
}

func (l *limitedListener) admit(c net.Conn) *watchedConn {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats.OpenConnections >= e.behaviour.Connections {
		e.stats.RejectedConnections++
		return nil
	}
	e.stats.Connections++
	e.stats.OpenConnections++
	e.stats.MaxOpenConnections = max(e.stats.MaxOpenConnections, e.stats.OpenConnections)
	accept := time.Duration(e.behaviour.AcceptMs * float64(time.Millisecond))
	w := &watchedConn{
		Conn:   c,
		gone:   make(chan struct{}),
		chunks: make(chan []byte, 1),
		accept: accept,
	}
	w.onEnd = func() {
		l.port.remove(w)
		e.UpdateStats(func(s *Stats) { s.OpenConnections-- })
	}
	l.port.add(w)
	return w
}

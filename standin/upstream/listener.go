package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reopenableListener is a listener that can be closed together with its connections
// and opened again on the same address.
type reopenableListener struct {
	mu    sync.Mutex
	ln    net.Listener
	conns map[*readAheadConn]bool
}

// open listens on address. It fails if the listener is open.
func (l *reopenableListener) open(address string) (ln net.Listener, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil, errors.New("listener is already open")
	}
	l.ln, err = net.Listen("tcp", address)
	return l.ln, err
}

func (l *reopenableListener) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ln != nil
}

// close closes the listener and the open connections.
func (l *reopenableListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

func (l *reopenableListener) add(c *readAheadConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*readAheadConn]bool{}
	}
	l.conns[c] = true
}

func (l *reopenableListener) remove(c *readAheadConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// limitedListener closes connections above the limit of the scheduler's behaviour at
// once.
type limitedListener struct {
	net.Listener
	scheduler *Scheduler
	listener  *reopenableListener
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if w := l.admit(c); w != nil {
			go w.readAhead()
			return w, nil
		}
		_ = c.Close()
	}
}

func (l *limitedListener) admit(c net.Conn) *readAheadConn {
	s := l.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.OpenConnections >= s.behaviour.Connections {
		s.stats.RejectedConnections++
		return nil
	}
	s.stats.Connections++
	s.stats.OpenConnections++
	s.stats.MaxOpenConnections = max(s.stats.MaxOpenConnections, s.stats.OpenConnections)
	acceptDelay := time.Duration(s.behaviour.AcceptMs * float64(time.Millisecond))
	w := &readAheadConn{
		Conn:        c,
		closed:      make(chan struct{}),
		chunks:      make(chan []byte, 1),
		acceptDelay: acceptDelay,
	}
	w.onClose = func() {
		l.listener.remove(w)
		s.UpdateStats(func(stats *Stats) { stats.OpenConnections-- })
	}
	l.listener.add(w)
	return w
}

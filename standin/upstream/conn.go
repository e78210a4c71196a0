package upstream

import (
	"net"
	"os"
	"sync"
	"time"
)

// pumpBytes is the size of one read from a connection.
const pumpBytes = 16 << 10

// watchedConn reads ahead, so that a handler learns at once that the other side
// has closed the connection.
type watchedConn struct {
	net.Conn
	gone   chan struct{} // closed when nothing more can be read
	chunks chan []byte
	rest   []byte
	accept time.Duration
	once   sync.Once
	onEnd  func()

	mu       sync.Mutex
	deadline time.Time
}

func (c *watchedConn) pump() {
	defer close(c.gone)
	defer close(c.chunks)
	time.Sleep(c.accept)
	for {
		buf := make([]byte, pumpBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.chunks <- buf[:n]
		}
		if err != nil {
			return
		}
	}
}

// Read returns what the pump has read.
func (c *watchedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		chunk, err := c.next()
		if err != nil {
			return 0, err
		}
		c.rest = chunk
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *watchedConn) next() ([]byte, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case chunk, ok := <-c.chunks:
		if !ok {
			return nil, net.ErrClosed
		}
		return chunk, nil
	case <-expired:
		return nil, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline bounds Read; the pump itself never expires.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetDeadline bounds Read and Write.
func (c *watchedConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// Close closes the connection and frees its place under the limit.
func (c *watchedConn) Close() error {
	c.once.Do(c.onEnd)
	err := c.Conn.Close()
	go c.discard()
	return err
}

// discard lets the pump end when nobody reads any more.
func (c *watchedConn) discard() {
	for range c.chunks {
	}
}

package upstream

import (
	"net"
	"os"
	"sync"
	"time"
)

// readBufferBytes is the buffer size for one read from a connection.
const readBufferBytes = 16 << 10

// readAheadConn reads ahead in the background, so that a handler learns at once that
// the peer has closed the connection.
type readAheadConn struct {
	net.Conn
	closed      chan struct{} // closed when nothing more can be read
	chunks      chan []byte
	unread      []byte        // remainder of the chunk that Read returned last
	acceptDelay time.Duration // cost of a new connection, before the first read
	closeOnce   sync.Once
	onClose     func()

	mu       sync.Mutex
	deadline time.Time
}

// readAhead reads into chunks until the connection fails or is closed.
func (c *readAheadConn) readAhead() {
	defer close(c.closed)
	defer close(c.chunks)
	time.Sleep(c.acceptDelay)
	for {
		buf := make([]byte, readBufferBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.chunks <- buf[:n]
		}
		if err != nil {
			return
		}
	}
}

// Read returns bytes that readAhead has read. It fails once the read deadline has
// passed.
func (c *readAheadConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		chunk, err := c.nextChunk()
		if err != nil {
			return 0, err
		}
		c.unread = chunk
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *readAheadConn) nextChunk() ([]byte, error) {
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

// SetReadDeadline sets the deadline of Read. It does not affect readAhead.
func (c *readAheadConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetDeadline sets the deadline of Read and Write.
func (c *readAheadConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// Close closes the connection and releases its share of the connection limit.
func (c *readAheadConn) Close() error {
	c.closeOnce.Do(c.onClose)
	err := c.Conn.Close()
	go c.drainChunks()
	return err
}

// drainChunks discards what is left in chunks, so that readAhead can return when
// Read is no longer called.
func (c *readAheadConn) drainChunks() {
	for range c.chunks {
	}
}

package peer

import (
	"net"
	"time"
)

// countedConn counts the bytes of a TCP connection and bounds each write, so
// that a host that no longer reads can't hold a writer for good.
type countedConn struct {
	net.Conn
	count *counters
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.count.linkReceived.Add(n)
	return n, err
}

// Write writes within writeTimeout and counts.
func (c *countedConn) Write(b []byte) (n int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err = c.Conn.Write(b)
	c.count.linkSent.Add(n)
	return n, err
}

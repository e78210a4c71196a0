package peer

import (
	"encoding/binary"
	"net"
	"time"
)

// Layout of the yamux frame header, as given in the yamux specification.
const (
	muxTypeOffset   = 1 // offset of the frame type
	muxLengthOffset = 8 // offset of the length, four bytes, big endian
	muxTypeData     = 0 // the only frame type that has a body
)

// countingConn counts the bytes of a TCP connection and limits the duration of
// each write, so that a host that has stopped reading can't block a writer
// forever. yamux writes the header and body of a frame separately. countingConn
// joins them into one write, which saves a system call on both sides and a packet
// on the network. It must have only one writer.
type countingConn struct {
	net.Conn
	count         *counters
	pendingHeader []byte // header whose body is the next write
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.count.linkReceived.Add(n)
	return n, err
}

// Write writes to the connection within writeTimeout and counts the bytes.
func (c *countingConn) Write(b []byte) (n int, err error) {
	if len(c.pendingHeader) == 0 && expectsBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	frame := b
	if len(c.pendingHeader) > 0 {
		frame = append(c.pendingHeader, b...)
		c.pendingHeader = c.reusableBuffer(frame)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err = c.Conn.Write(frame)
	c.count.linkSent.Add(n)
	if err != nil {
		return 0, err // yamux then closes the connection
	}
	return len(b), nil
}

// reusableBuffer returns frame's buffer for the next header, or nil when the
// buffer is too large to keep in memory.
func (c *countingConn) reusableBuffer(frame []byte) []byte {
	if cap(frame) > maxBatchBytes {
		return nil
	}
	return frame[:0]
}

// expectsBody reports whether b is the header of a frame that has a body.
func expectsBody(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}

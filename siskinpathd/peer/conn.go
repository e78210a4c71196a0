package peer

import (
	"encoding/binary"
	"net"
	"time"
)

// The transport's frame header, as its specification has it.
const (
	muxTypeAt   = 1 // place of the frame's type
	muxLengthAt = 8 // place of the length, four bytes, big endian
	muxTypeData = 0 // the only type that a body follows
)

// countedConn counts the bytes of a TCP connection and bounds each write, so
// that a host that no longer reads can't hold a writer for good. The transport
// writes a frame's header and body apart; they go out together here, which saves
// both sides a system call and the network a packet. It has one writer.
type countedConn struct {
	net.Conn
	count *counters
	held  []byte // a header whose body comes next
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.count.linkReceived.Add(n)
	return n, err
}

// Write writes within writeTimeout and counts.
func (c *countedConn) Write(b []byte) (n int, err error) {
	if len(c.held) == 0 && beginsBody(b) {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	frame := b
	if len(c.held) > 0 {
		frame = append(c.held, b...)
		c.held = c.keep(frame)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err = c.Conn.Write(frame)
	c.count.linkSent.Add(n)
	if err != nil {
		return 0, err // the transport ends the connection
	}
	return len(b), nil
}

// keep gives the buffer for the next header, without holding on to a large one.
func (c *countedConn) keep(frame []byte) []byte {
	if cap(frame) > maxBatchBytes {
		return nil
	}
	return frame[:0]
}

// beginsBody tells whether b is the header of a frame whose body follows.
func beginsBody(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeAt] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthAt:]) > 0
}

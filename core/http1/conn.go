package http1

import "net"

// maxHeadBytes is the largest head that a Conn accepts.
const maxHeadBytes = 64 << 10

// Conn checks the heads of the responses on a client's connection, for clients that read and
// parse them in a library. The client must read each response before it writes the next request.
// Create it with NewConn.
type Conn struct {
	net.Conn

	head   []byte // what has been read of the head so far
	inHead bool
}

// NewConn returns a Conn on top of nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write writes a part of a request. What is read after it begins with the head of a response.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.head, c.inHead = c.head[:0], true
	return c.Conn.Write(b)
}

// Read reads a part of a response. It returns an error, and no byte of a read that completes
// the head, if the head is none of a response.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if c.inHead && n > 0 {
		if cerr := c.check(b[:n]); cerr != nil {
			return 0, cerr
		}
	}
	return n, err
}

func (c *Conn) check(b []byte) error {
	c.head = append(c.head, b...)
	for c.inHead {
		end := sectionEnd(c.head)
		if end == 0 {
			if len(c.head) > maxHeadBytes {
				return ErrTooLong
			}
			return nil
		}
		if err := CheckHead(c.head[:end]); err != nil {
			return err
		}
		// The status line has been checked, so its first digit is that of the status.
		interim := c.head[len("HTTP/1.1 ")] == '1'
		c.head, c.inHead = c.head[:copy(c.head, c.head[end:])], interim
	}
	return nil
}

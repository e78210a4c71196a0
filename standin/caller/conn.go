// Package caller simulates callers. They request the addresses of a service, cache
// them, connect directly, send requests at times that do not depend on the answers
// (open-loop load), retry with the same idempotency key, and verify every answer.
package caller

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// connectTimeout is the time limit for opening a connection.
const connectTimeout = time.Second

// Conn is a client connection. It carries one request at a time and never retries.
type Conn struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
}

// Dial opens a connection to address.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c)}, nil
}

// Exchange sends req and reads the complete reply into resp. It fails if the
// exchange has not finished by deadline.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := req.Write(c.w); err != nil {
		return errors.WithMessage(err, "write")
	}
	if err := c.w.Flush(); err != nil {
		return errors.WithMessage(err, "write")
	}
	return errors.WithMessage(resp.Read(c.r), "read")
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Pool keeps idle connections by address. The zero value is an empty pool.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// ErrNotSent reports that no byte of a request was sent.
var ErrNotSent = errors.New("not sent")

// Exchange sends req to address over an idle or a new connection and reads the
// complete reply into resp by deadline. It returns ErrNotSent if no connection
// could be opened.
func (p *Pool) Exchange(address string, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = Dial(address); err != nil {
			return ErrNotSent
		}
	}
	if err := c.Exchange(req, resp, deadline); err != nil {
		c.Close()
		return err
	}
	if resp.ConnectionClose() {
		c.Close()
		return nil
	}
	p.put(address, c)
	return nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}

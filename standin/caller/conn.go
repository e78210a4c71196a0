// Package caller plays callers: they ask for addresses, keep the answer, connect
// themselves, send requests at times that don't depend on the answers, retry
// with the same key, and check every answer.
package caller

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// connectTimeout bounds the opening of a connection.
const connectTimeout = time.Second

// Conn is one connection. It carries one request at a time and retries nothing.
type Conn struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c)}, nil
}

// Exchange sends req and reads the whole reply until the point in time until.
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

// Pool keeps idle connections by address. The zero value is empty and ready.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// ErrNotSent says that no byte was sent.
var ErrNotSent = errors.New("not sent")

// Exchange sends req to address over an idle or a new connection and reads the
// whole reply. The error is ErrNotSent when no connection could be opened.
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

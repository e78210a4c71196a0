package main

import (
	"io"
	"net"
	"sync"
)

// proxy is a link that passes bytes on until it is cut: then it resets its connections, and
// every new one.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func startProxy(target string) *proxy {
	p := &proxy{ln: listen(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := p.ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) pass(c net.Conn) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		reset(c)
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	one := func(to, from net.Conn) {
		io.Copy(to, from)
		if t, ok := to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
	done := make(chan struct{})
	go func() { one(d, c); close(done) }()
	one(c, d)
	<-done
	c.Close()
	d.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
}

// setCut cuts the link, or heals it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	conns := p.conns
	if cut {
		p.conns = map[net.Conn]bool{}
	}
	p.mu.Unlock()
	if cut {
		for c := range conns {
			reset(c)
		}
	}
}

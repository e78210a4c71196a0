package tcp

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// pipeListener accepts connections that a test makes. Its first errors are those of errs.
type pipeListener struct {
	errs  []error
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	nc, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (l *pipeListener) Close() error {
	close(l.conns)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestListener(t *testing.T) {
	Convey("a listener for two connections", t, func() {
		pipes := &pipeListener{conns: make(chan net.Conn, 8)}
		now := &clock.Manual{}
		l := &Listener{Listener: pipes, Limit: 2, Clock: now, Log: slog.New(slog.DiscardHandler)}
		connect := func() (client, host net.Conn) {
			client, server := net.Pipe()
			pipes.conns <- server
			host, err := l.Accept()
			So(err, ShouldBeNil)
			now.Advance(1)
			return client, host
		}
		first, firstHost := connect()
		second, _ := connect()
		Convey("closes the one that was not used for longest when a third comes", func() {
			go func() { _, _ = first.Write([]byte("x")) }()
			_, err := firstHost.Read(make([]byte, 1))
			So(err, ShouldBeNil)
			connect()
			_, err = second.Read(make([]byte, 1))
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			So(l.Open(), ShouldEqual, 2)
		})
		Convey("forgets closed connections", func() {
			So(firstHost.Close(), ShouldBeNil)
			So(l.Open(), ShouldEqual, 1)
		})
		Convey("goes on after an error of the kernel, for which it closes one", func() {
			pipes.errs = []error{syscall.EMFILE}
			connect()
			So(l.Open(), ShouldEqual, 2)
		})
		Convey("ends when it is closed", func() {
			So(l.Close(), ShouldBeNil)
			_, err := l.Accept()
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		})
	})
}

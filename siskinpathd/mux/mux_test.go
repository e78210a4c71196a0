package mux

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// lateConn is a connection whose reader learns of its end only when it is released.
type lateConn struct {
	net.Conn
	released chan struct{}
}

func (c lateConn) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b); err != nil {
		<-c.released
	}
	return n, err
}

func config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	return cfg
}

func TestStreamsOfLostSessions(t *testing.T) {
	Convey("a session whose reader learns late that it is lost", t, func() {
		before := goleak.IgnoreCurrent()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		near, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		far, err := ln.Accept()
		So(err, ShouldBeNil)
		_ = ln.Close()
		released := make(chan struct{})
		client, err := Client(lateConn{near, released}, config())
		So(err, ShouldBeNil)
		server, err := Server(far, config())
		So(err, ShouldBeNil)
		a, err := client.Open()
		So(err, ShouldBeNil)
		b, err := server.Accept(context.Background())
		So(err, ShouldBeNil)
		Reset(func() {
			close(released)
			_ = client.Close()
			_ = server.Close()
			So(goleak.Find(before), ShouldBeNil)
		})
		ended := make(chan error, 2)
		read := func() { _, err := a.Read(make([]byte, 10)); ended <- err }
		write := func() { _, err := a.Write(make([]byte, 1<<20)); ended <- err } // more than the other side takes unread
		shouldEnd := func(reason error) {
			select {
			case err := <-ended:
				So(err, ShouldEqual, reason)
			case <-time.After(time.Second):
				So("the stream goes on", ShouldBeEmpty)
			}
		}
		lose := func() {
			_ = far.Close()
			go func() { _ = client.Close() }()
		}
		for name, work := range map[string]func(){"a read": read, "a write": write} {
			Convey(name+" ends with its session", func() {
				go work()
				time.Sleep(20 * time.Millisecond)
				lose()
				shouldEnd(yamux.ErrSessionShutdown)
			})
			Convey(name+" ends with its session though its deadline is moved on", func() {
				lose()
				<-client.Done()
				a.SetDeadline(time.Now().Add(time.Minute))
				a.SetReadDeadline(time.Time{})
				a.SetWriteDeadline(time.Time{})
				go work()
				shouldEnd(yamux.ErrSessionShutdown)
			})
			Convey(name+" ends when its stream is closed", func() {
				go work()
				time.Sleep(20 * time.Millisecond)
				_ = a.Close()
				shouldEnd(yamux.ErrStreamClosed)
			})
		}
		Convey("still passes on what had arrived", func() {
			_, err := b.Write([]byte("word"))
			So(err, ShouldBeNil)
			_, err = client.Ping()
			So(err, ShouldBeNil)
			lose()
			<-client.Done()
			got := make([]byte, 10)
			n, err := a.Read(got)
			So(err, ShouldBeNil)
			So(string(got[:n]), ShouldEqual, "word")
			go read()
			shouldEnd(yamux.ErrSessionShutdown)
		})
		Convey("ends streams that are opened at that moment", func() {
			late, err := client.mux.OpenStream()
			So(err, ShouldBeNil)
			lose()
			<-client.Done()
			a = client.add(late)
			go read()
			shouldEnd(yamux.ErrSessionShutdown)
			So(client.streams, ShouldBeEmpty)
		})
	})
}

package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnsent(t *testing.T) {
	Convey("a connection whose peer reads nothing", t, func() {
		ln, err := Listen("127.0.0.1:0", Buffers{Send: 32 << 10, Receive: 32 << 10})
		So(err, ShouldBeNil)
		Reset(func() { _ = ln.Close() })
		client, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = client.Close() })
		host, err := ln.Accept()
		So(err, ShouldBeNil)
		Reset(func() { _ = host.Close() })
		So(Unsent(host), ShouldEqual, 0)
		_ = host.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		sent, err := host.Write(make([]byte, 16<<20))
		So(err, ShouldNotBeNil)
		Convey("has unsent bytes, which the buffer limits", func() {
			So(Unsent(host), ShouldBeGreaterThan, 0)
			So(Unsent(host), ShouldBeLessThan, 4*32<<10)
		})
		Convey("has none when the peer has read them", func() {
			_, err := io.CopyN(io.Discard, client, int64(sent))
			So(err, ShouldBeNil)
			for end := time.Now().Add(10 * time.Second); Unsent(host) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(Unsent(host), ShouldEqual, 0)
		})
	})
	Convey("a connection that is no socket has none", t, func() {
		host, client := net.Pipe()
		So(Unsent(host), ShouldEqual, 0)
		_ = client.Close()
	})
}

package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/siskinpathd/forward/forwardpb"
)

func TestMessage(t *testing.T) {
	encoded, err := encode(&forwardpb.Request{Id: "a", Body: make([]byte, 5000)})
	Convey("a message is read as it was encoded", t, func() {
		So(err, ShouldBeNil)
		m := &forwardpb.Request{}
		So(read(bufio.NewReader(bytes.NewReader(encoded)), m), ShouldBeNil)
		So(m.GetId(), ShouldEqual, "a")
		So(len(m.GetBody()), ShouldEqual, 5000)
	})
	Convey("one that ends early is an error", t, func() {
		for _, n := range []int{1, 2, len(encoded) - 1} {
			So(read(bufio.NewReader(bytes.NewReader(encoded[:n])), &forwardpb.Request{}), ShouldEqual, io.ErrUnexpectedEOF)
		}
	})
	Convey("one that is too long is not read", t, func() {
		So(read(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})), &forwardpb.Request{}), ShouldEqual, errMessageTooLong)
	})
}

// TestMessageWithoutMemory guards against messages of other hosts that are read although there
// is no memory for them.
func TestMessageWithoutMemory(t *testing.T) {
	long := make([]byte, 1<<20)
	Convey("a host that has no memory", t, func() {
		s := &Server{ListenAddress: "127.0.0.1:0", Timeouts: loaded, Log: slog.New(slog.DiscardHandler)}
		served, asked := 0, 0
		s.Serve = func(context.Context, *forwardpb.Request) *forwardpb.Reply {
			served++
			return &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_REPLIED, Body: long}
		}
		s.Reserve = func(bytes int) (func(), bool) {
			asked = bytes
			return nil, false
		}
		So(s.Bind(), ShouldBeNil)
		Reset(runServer(s))
		address := s.ln.Addr().String()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		Reset(cancel)
		c := newClient()
		Convey("does not take a long request", func() {
			reply, _, err := c.Call(ctx, address, &forwardpb.Request{Body: long})
			So(err, ShouldBeNil)
			So(reply.GetOutcome(), ShouldEqual, forwardpb.Outcome_OUTCOME_NOT_TAKEN)
			So(asked, ShouldBeGreaterThan, len(long))
			So(served, ShouldEqual, 0)
		})
		Convey("serves a short one", func() {
			reply, _, err := c.Call(ctx, address, &forwardpb.Request{})
			So(err, ShouldBeNil)
			So(len(reply.GetBody()), ShouldEqual, len(long))
		})
		Convey("does not read a reply that its client has no memory for, though the request was sent", func() {
			full := errors.New("full")
			_, sent, err := c.CallReserved(ctx, address, &forwardpb.Request{}, func(int) error { return full })
			So(errors.Is(err, full), ShouldBeTrue)
			So(sent, ShouldBeTrue)
		})
	})
}

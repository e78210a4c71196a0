package hop

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/peer/peerpb"
)

// loopback is a Transport that encodes calls, decodes them and passes them to a
// Server.
type loopback struct {
	server *Server
	err    error
}

func (w *loopback) Call(ctx context.Context, _ string, req *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if w.err != nil {
		return nil, w.err
	}
	b, err := proto.Marshal(req)
	So(err, ShouldBeNil)
	var got peerpb.CallRequest
	So(proto.Unmarshal(b, &got), ShouldBeNil)
	return w.server.Serve(ctx, "gh-1", &got), nil
}

func (w *loopback) SendDigest(string, string, route.Digest) {}

func newPair(answer func(c *call.Call) call.Answer) (*Client, *string) {
	chain := new(string)
	via := func(name string) func(c *call.Call) call.Answer {
		return func(c *call.Call) call.Answer { *chain = name; return answer(c) }
	}
	c := &clock.Manual{}
	server := &Server{Clock: c, FromHost: via("from_host"), FromCaller: via("from_caller"),
		LocalDigest: func(string) (route.Digest, bool) { return route.Digest{Free: 3, Queued: 0, Slots: 8}, true }}
	return &Client{Transport: &loopback{server: server}, Clock: c}, chain
}

func TestHop(t *testing.T) {
	Convey("a forwarded call arrives unchanged except for an earlier deadline, and its answer is returned complete", t, func() {
		var got call.Call
		h, chain := newPair(func(c *call.Call) call.Answer {
			got = *c
			return call.Answer{Reply: idempotency.Reply{Outcome: idempotency.Answered, Status: 201, Header: [][2]string{{"X", "y"}}, Body: []byte("b")}}
		})
		sent := &call.Call{Service: "rent", Organisation: "yard-3", Key: "k", Method: "POST", URI: "/debit?x=1", Header: [][2]string{{"A", "b"}},
			Body: []byte("body"), Deadline: h.Clock.Now() + clock.Minute, Depth: 4, Hops: 1}
		a, notSent := h.Forward(context.Background(), "gh-2", sent)
		So(notSent, ShouldBeFalse)
		So(a.Status, ShouldEqual, 201)
		So(a.Header, ShouldResemble, [][2]string{{"X", "y"}})
		So(*a.Digest, ShouldResemble, route.Digest{Host: "gh-2", Free: 3, Slots: 8})
		So(*chain, ShouldEqual, "from_host")
		So(got.Deadline, ShouldEqual, sent.Deadline-replyMargin)
		got.Deadline, got.CallerGone = sent.Deadline, nil
		So(got, ShouldResemble, *sent)
	})
	Convey("a call on whose key the other host decides passes that host's idempotency filter", t, func() {
		h, chain := newPair(func(c *call.Call) call.Answer {
			So(c.Mode, ShouldEqual, idempotency.ModeClaimed)
			So(c.ClaimRow, ShouldEqual, "{}")
			a := call.NotRun("deadline", 70)
			a.GivenUp = true
			return a
		})
		a, _ := h.Decide(context.Background(), "gh-2", &call.Call{Service: "rent", Method: "POST", Key: "k", Mode: idempotency.ModeClaimed, ClaimRow: "{}", Deadline: h.Clock.Now() + clock.Second})
		So(*chain, ShouldEqual, "from_caller")
		So(a.GivenUp, ShouldBeTrue)
		So(a.Outcome, ShouldEqual, idempotency.NotRun)
		So(a.RetryAfter, ShouldEqual, clock.Millis(70))
	})
	Convey("a call that was forwarded too often is refused", t, func() {
		h, chain := newPair(func(*call.Call) call.Answer { return call.Unknown("reached") })
		a, _ := h.Forward(context.Background(), "gh-2", &call.Call{Service: "rent", Method: "GET", Hops: maxHops + 1, Deadline: h.Clock.Now() + clock.Minute})
		So(a.Outcome, ShouldEqual, idempotency.NotRun)
		So(*chain, ShouldEqual, "")
	})
	Convey("a call with too little time left for forwarding is not sent", t, func() {
		h, chain := newPair(func(*call.Call) call.Answer { return call.Unknown("reached") })
		a, notSent := h.Forward(context.Background(), "gh-2", &call.Call{Service: "rent", Method: "GET", Deadline: h.Clock.Now() + replyMargin})
		So(notSent, ShouldBeTrue)
		So(a.Outcome, ShouldEqual, idempotency.NotRun)
		So(*chain, ShouldEqual, "")
	})
	Convey("an outcome value that this version doesn't know counts as unknown", t, func() {
		So(decodeReply(&peerpb.CallReply{Outcome: 99, Body: []byte("b")}).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("a forwarded call that gets no reply may have run", t, func() {
		h := &Client{Transport: &loopback{err: context.DeadlineExceeded}, Clock: &clock.Manual{}}
		a, notSent := h.Forward(context.Background(), "gh-2", &call.Call{Service: "rent", Method: "GET", Deadline: h.Clock.Now() + clock.Minute})
		So(a.Outcome, ShouldEqual, idempotency.OutcomeUnknown)
		So(notSent, ShouldBeFalse)
	})
}

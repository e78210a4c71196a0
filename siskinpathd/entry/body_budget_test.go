package entry

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/memory"
)

const chunkedHeader = "POST /write/1 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"

// readChunkedRequest reads a request in chunks with a budget.
func readChunkedRequest(text string, budget *bodyBudget, maxBytes int) (req *heldRequest, rest string, err error) {
	r := bufio.NewReader(strings.NewReader(chunkedHeader + text))
	req = &heldRequest{body: bodyHold{budget: budget}}
	So(req.Header.Read(r), ShouldBeNil)
	err = req.readBody(r, maxBytes)
	left, _ := r.Peek(r.Buffered())
	return req, string(left), err
}

func TestBodyBudget(t *testing.T) {
	Convey("a budget of 100 bytes", t, func() {
		b := &bodyBudget{Total: 100}
		Convey("is shared by all bodies, and what is released can be taken again", func() {
			one, two := bodyHold{budget: b}, bodyHold{budget: b}
			So(one.grow(60), ShouldBeTrue)
			So(two.grow(41), ShouldBeFalse)
			So(two.grow(40), ShouldBeTrue)
			So(one.grow(1), ShouldBeFalse)
			one.release()
			one.release()
			So(two.grow(60), ShouldBeTrue)
			two.release()
			So(b.inUse.Load(), ShouldEqual, 0)
		})
		Convey("takes nothing for a length that is not known or 0", func() {
			h := bodyHold{budget: b}
			for _, n := range []int{0, chunkedLength, identityLength} {
				So(h.grow(n), ShouldBeTrue)
			}
			So(b.inUse.Load(), ShouldEqual, 0)
		})
		Convey("refuses a body in chunks as soon as it does not fit", func() {
			req, _, err := readChunkedRequest("5a\r\n"+strings.Repeat("x", 90)+"\r\n5a\r\n"+strings.Repeat("x", 90)+"\r\n0\r\n\r\n", b, 1000)
			So(err, ShouldEqual, errBodyMemory)
			req.release()
			So(b.inUse.Load(), ShouldEqual, 0)
		})
		Convey("does not count a chunk that was announced but not sent", func() {
			req, _, err := readChunkedRequest("ffffff\r\nabc", b, 1<<30)
			So(isConnectionEnd(err), ShouldBeTrue)
			So(b.inUse.Load(), ShouldEqual, 3)
			req.release()
		})
		Convey("gives all of a larger budget to a body without others, and to no second one", func() {
			b.Lone, b.Memory = 1000, &memory.Budget{Total: 1100}
			lone, other := bodyHold{budget: b}, bodyHold{budget: b}
			So(lone.grow(1001), ShouldBeFalse)
			So(lone.grow(600), ShouldBeTrue)
			So(lone.grow(400), ShouldBeTrue)
			So(other.grow(1), ShouldBeFalse)
			So(b.Memory.InUse(), ShouldEqual, 1000)
			lone.release()
			So(other.grow(1), ShouldBeTrue)
			So(lone.grow(100), ShouldBeFalse)
			other.release()
			So(b.Memory.Take(200), ShouldBeTrue)
			So(lone.grow(901), ShouldBeFalse)
			So(lone.grow(900), ShouldBeTrue)
		})
		Convey("counts a long body in chunks twice, as it is copied while it grows", func() {
			b.Total = 1 << 20
			text := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 3*smallBodyBytes, strings.Repeat("x", 3*smallBodyBytes))
			req, _, err := readChunkedRequest(text, b, 1<<20)
			So(err, ShouldBeNil)
			So(len(req.Body()), ShouldEqual, 3*smallBodyBytes)
			So(b.inUse.Load(), ShouldBeGreaterThan, 4*smallBodyBytes)
			So(b.inUse.Load(), ShouldBeLessThanOrEqualTo, 6*smallBodyBytes)
			req.release()
			So(b.inUse.Load(), ShouldEqual, 0)
		})
		Convey("counts what a body in chunks has, and leaves the next request unread", func() {
			req, rest, err := readChunkedRequest("3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Sum: 1\r\n\r\nGET / HTTP/1.1\r\n", b, 5)
			So(err, ShouldBeNil)
			So(string(req.Body()), ShouldEqual, "abcde")
			So(b.inUse.Load(), ShouldEqual, 5)
			So(rest, ShouldEqual, "GET / HTTP/1.1\r\n")
		})
	})
	Convey("a request of another host whose body does not fit is not taken, so that it can go elsewhere", t, func() {
		n := bareNode()
		n.bodies = &bodyBudget{Total: 10}
		reply := n.serveForward(context.Background(), &forwardpb.Request{Service: "booking", Body: make([]byte, 11)})
		So(reply.GetOutcome(), ShouldEqual, forwardpb.Outcome_OUTCOME_NOT_TAKEN)
		So(reply.GetReason(), ShouldEqual, reasonBodyMemory)
		n.serveForward(context.Background(), &forwardpb.Request{Service: "booking", Body: make([]byte, 10)})
		So(n.bodies.inUse.Load(), ShouldEqual, 0)
	})
	Convey("the budget is an eighth of the memory limit, and a body above all of it does not fit", t, func() {
		So(newBodyBudget(256).Total, ShouldEqual, 32<<20)
		So(newBodyBudget(0).Total, ShouldEqual, 32<<20)
		hold := bodyHold{budget: newBodyBudget(8)}
		So(hold.grow(1<<20+1), ShouldBeFalse)
		So(hold.grow(1<<20), ShouldBeTrue)
	})
}

// TestChunkedBodies guards against bodies in chunks that are read otherwise than fasthttp
// reads them.
func TestChunkedBodies(t *testing.T) {
	for _, text := range []string{
		"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "A\r\n0123456789\r\n0\r\n\r\n", "3;ext\r\nabc\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
		"3\r\nabc\r\n", "3\r\nabcX\r\n0\r\n\r\n", "x\r\nabc\r\n0\r\n\r\n", "\r\n", "3\r\nab", "0\r\n", "0\r\nX-A: b\r\n", "-1\r\na\r\n0\r\n\r\n",
		"0\r\nAuthorization: Bearer a\r\n\r\n", "0\r\nX A\r\n\r\n", "100000000000000000\r\na\r\n0\r\n\r\n", "1\r\na\r\n0\r\nno colon\r\n\r\n",
	} {
		Convey(fmt.Sprintf("%q is read as by fasthttp", text), t, func() {
			plain := &fasthttp.Request{}
			r := bufio.NewReader(strings.NewReader(chunkedHeader + text))
			So(plain.Header.Read(r), ShouldBeNil)
			wantErr := plain.ContinueReadBody(r, 1000, false)
			req, _, err := readChunkedRequest(text, &bodyBudget{Total: 1000}, 1000)
			So(err == nil, ShouldEqual, wantErr == nil)
			if err == nil {
				So(string(req.Body()), ShouldEqual, string(plain.Body()))
				So(req.Header.ContentLength(), ShouldEqual, plain.Header.ContentLength())
				return
			}
			So(classifyBodyError(err), ShouldHaveSameTypeAs, classifyBodyError(wantErr))
		})
	}
}

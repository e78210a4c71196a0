package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/route"
	"siskinpath/siskinpathd/forward/forwardpb"
)

// TestForwardedReplyThatIsNone guards against a status or field of another host that is none.
func TestForwardedReplyThatIsNone(t *testing.T) {
	for _, c := range []struct {
		status uint32
		name   string
		want   route.Status
	}{
		{200, "A", route.Succeeded}, {503, "A", route.Succeeded}, {0, "A", route.ConnectionLost}, {100, "A", route.ConnectionLost},
		{1000, "A", route.ConnectionLost}, {200, "A b", route.ConnectionLost}, {200, "A\r\nB", route.ConnectionLost},
	} {
		Convey(fmt.Sprintf("%+v", c), t, func() {
			reply, result, err := decodeForwardReply(&forwardpb.Reply{
				Outcome: forwardpb.Outcome_OUTCOME_REPLIED, Status: c.status, Headers: []*forwardpb.Header{{Name: c.name, Value: "x"}},
			})
			So(result.Status, ShouldEqual, c.want)
			So(reply == nil, ShouldEqual, c.want != route.Succeeded)
			So(err == nil, ShouldEqual, c.want == route.Succeeded)
		})
	}
}

// TestReplyToHostLostAtStop guards against a host that stops after it has served a request of
// another host, and before it has written the reply.
func TestReplyToHostLostAtStop(t *testing.T) {
	Convey("a request of another host counts as in flight until its reply has been written", t, func() {
		n := bareNode()
		n.bodies = &bodyBudget{Total: 10}
		ctx, written := context.WithCancel(context.Background())
		n.serveForward(ctx, &forwardpb.Request{Service: "booking"})
		So(n.forwardsInFlight.Load(), ShouldEqual, 1)
		written()
		for end := time.Now().Add(time.Second); n.forwardsInFlight.Load() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(n.forwardsInFlight.Load(), ShouldEqual, 0)
	})
}

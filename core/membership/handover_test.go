package membership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// reportedInHeartbeat returns the epoch in the next heartbeat sent at now or
// later.
func reportedInHeartbeat(v *View, now clock.Millis) uint64 {
	for _, a := range v.Tick(max(now, v.NextTick())) {
		if a.Kind == SendHeartbeat {
			return a.Heartbeat.Epoch
		}
	}
	return 0
}

func TestHandover(t *testing.T) {
	self := Host{ID: "gh-1", Incarnation: 1, PeerAddress: "127.0.0.1:1"}
	other := Host{ID: "gh-2", Incarnation: 2, PeerAddress: "127.0.0.1:2"}
	members := []Host{self, other}
	moved := func(epoch uint64) Assignment {
		return Assignment{Epoch: epoch, Members: members, Owners: map[string]string{"booking/b1": "gh-2"}, Moved: map[string]uint64{"booking/b1": epoch}}
	}
	start := func(delayReports bool) *View {
		v := &View{Self: self, DelayReports: delayReports}
		v.HandlePlatformAssignment(1000, 1000, Assignment{Epoch: 1, Members: members, Owners: map[string]string{"booking/b1": "gh-1"}})
		v.MarkDrained(1)
		v.HandlePlatformAssignment(2000, 2000, moved(2))
		return v
	}
	Convey("an old owner does not report an epoch while its requests are in flight", t, func() {
		v := start(true)
		So(reportedInHeartbeat(v, 2300), ShouldEqual, 1)
		v.MarkDrained(2)
		So(reportedInHeartbeat(v, 2600), ShouldEqual, 2)
	})
	Convey("the report is delayed for at most the hand-over timeout", t, func() {
		v := start(true)
		So(reportedInHeartbeat(v, 2000+DefaultHandoverTimeout), ShouldEqual, 2)
	})
	Convey("an epoch that has been reported is never withdrawn", t, func() {
		v := start(true)
		So(reportedInHeartbeat(v, 2000+DefaultHandoverTimeout), ShouldEqual, 2)
		v.HandlePlatformAssignment(4100, 4100, moved(3))
		So(reportedInHeartbeat(v, 4400), ShouldEqual, 2)
	})
	Convey("without DelayReports, the epoch is reported while requests are in flight", t, func() {
		So(reportedInHeartbeat(start(false), 2300), ShouldEqual, 2)
	})
	Convey("a delayed report does not prolong the rights", t, func() {
		v := start(true)
		full, reduced := v.Holds(2001, "booking", "b1")
		So(full || reduced, ShouldBeFalse)
	})
}

func TestListedLeaving(t *testing.T) {
	Convey("a host has the status leaving while the platform lists it as leaving", t, func() {
		v := &View{Self: Host{ID: "gh-1", Incarnation: 1, PeerAddress: "127.0.0.1:1"}}
		listed := func(leaving bool) bool {
			v.HandleHostList(1000, []ListedHost{{ID: "gh-1", Leaving: leaving}})
			return v.Status(1000)[0].Leaving
		}
		So(listed(false), ShouldBeFalse)
		So(listed(true), ShouldBeTrue)
		So(listed(false), ShouldBeFalse)
	})
}

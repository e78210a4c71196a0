package platform

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStore(t *testing.T) {
	Convey("Given a store with one row", t, func() {
		var s Store
		ok, rows := s.Apply(Transaction{Checks: []Check{{Key: "a"}}, Puts: []Put{{Key: "a", Value: "1"}}})
		So(ok, ShouldBeTrue)
		So(rows, ShouldResemble, []Row{{Key: "a", Value: "1", Version: 1}})

		Convey("a transaction with a failed check changes nothing", func() {
			ok, rows := s.Apply(Transaction{
				Checks: []Check{{Key: "a"}},
				Puts:   []Put{{Key: "a", Value: "2"}, {Key: "b", Value: "2"}},
			})
			So(ok, ShouldBeFalse)
			So(rows, ShouldResemble, []Row{{Key: "a", Value: "1", Version: 1}})
			So(s.Read([]string{"b", "a"}), ShouldResemble, []Row{{Key: "b"}, {Key: "a", Value: "1", Version: 1}})
		})
		Convey("a deleted row reads as absent, and its version keeps increasing when it is written again", func() {
			s.Apply(Transaction{Deletes: []string{"a"}})
			So(s.Read([]string{"a"}), ShouldResemble, []Row{{Key: "a"}})
			ok, rows := s.Apply(Transaction{Checks: []Check{{Key: "a"}}, Puts: []Put{{Key: "a", Value: "3"}}})
			So(ok, ShouldBeTrue)
			So(rows[0].Version, ShouldEqual, 2)
		})
	})
}

func TestHostList(t *testing.T) {
	Convey("A reader sees the list with the given delay", t, func() {
		var l HostList
		l.Set(100, Host{ID: "b", State: StateLive})
		l.Set(200, Host{ID: "a", State: StateLive})
		l.SetState(300, "b", StateLeaving)
		l.Remove(400, "a")
		shouldListHosts(l.At(150, 60), "")
		shouldListHosts(l.At(160, 60), "b live")
		shouldListHosts(l.At(260, 60), "a live", "b live")
		shouldListHosts(l.At(360, 60), "a live", "b leaving")
		shouldListHosts(l.At(460, 60), "b leaving")
	})
}

func shouldListHosts(hosts []Host, want ...string) {
	got := []string{}
	for _, h := range hosts {
		got = append(got, h.ID+" "+h.State)
	}
	if want[0] == "" {
		want = []string{}
	}
	So(got, ShouldResemble, want)
}

func TestFaults(t *testing.T) {
	Convey("Faults out of range are rejected", t, func() {
		for _, f := range []Faults{{Outage: "odd"}, {SlowMs: -1}, {LoseReplies: 1.5}, {ListLagMs: -1}} {
			So(f.Validate(), ShouldNotBeNil)
		}
		f := Faults{}
		So(f.Validate(), ShouldBeNil)
		So(f.Outage, ShouldEqual, OutageNone)
	})
	Convey("Replies are lost at the configured rate, and the same ones for the same seed", t, func() {
		a := newFaultState(Faults{LoseReplies: 0.25}, 7)
		b := newFaultState(Faults{LoseReplies: 0.25}, 7)
		lost := 0
		for range 1000 {
			x := a.loseReply()
			So(b.loseReply(), ShouldEqual, x)
			if x {
				lost++
			}
		}
		So(lost, ShouldBeBetween, 200, 300)
	})
}

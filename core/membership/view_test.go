package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/table"
)

const start = clock.Hour

func host(id string, incarnation Incarnation) Host {
	return Host{ID: id, Incarnation: incarnation, AvailabilityZone: "a", PeerAddress: id + ":1", CallerAddress: id + ":2"}
}

func newView(id string) *View {
	return &View{Self: host(id, 1), Rand: rand.New(rand.NewPCG(1, 1))}
}

// assignment returns an assignment with members a, b and c, in which a owns
// s/u.
func assignment(epoch uint64) Assignment {
	return Assignment{
		Epoch: epoch, TableVersion: 1, Members: []Host{host("a", 1), host("b", 1), host("c", 1)},
		Owners: map[string]string{"s/u": "a"},
	}
}

// answerFrom returns a reply from h to the latest heartbeats of the view.
func answerFrom(v *View, h Host, epoch uint64) Heartbeat {
	return Heartbeat{
		From: h, Sequence: 1, Epoch: epoch, PlatformAge: -1,
		Gossip: []GossipEntry{{Host: Host{ID: v.Self.ID, Incarnation: v.Self.Incarnation}, Sequence: v.sequence}},
	}
}

func count(actions []Action, kind ActionKind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

func shouldHold(v *View, now clock.Millis, full, reduced bool) {
	gotFull, gotReduced := v.Holds(now, "s", "u")
	convey.So(gotFull, convey.ShouldEqual, full)
	convey.So(gotReduced, convey.ShouldEqual, reduced)
}

func shouldHavePresence(v *View, id string, incarnation Incarnation, want Presence) {
	_, got := v.Find(id, incarnation)
	convey.So(got, convey.ShouldEqual, want)
}

func TestRights(t *testing.T) {
	convey.Convey("an owner that has read the platform", t, func() {
		v := newView("a")
		v.HandlePlatformAssignment(start, start, assignment(1))
		shouldHold(v, start, false, false)
		now := start + v.HeartbeatInterval
		actions := v.Tick(now)
		convey.So(count(actions, RightsChanged), convey.ShouldEqual, 1)
		shouldHold(v, now, true, false)
		convey.Convey("is reduced to one slot when the read is old", func() {
			shouldHold(v, start+v.PlatformReadTTL-1, true, false)
			shouldHold(v, start+v.PlatformReadTTL, false, true)
		})
		convey.Convey("keeps full rights while a majority answers", func() {
			v.HandleHeartbeat(now, answerFrom(v, host("b", 1), 1))
			shouldHold(v, now+v.HeartbeatTimeout-1, true, false)
			shouldHold(v, now+v.HeartbeatTimeout, false, true)
		})
		convey.Convey("doesn't count hosts of a newer epoch", func() {
			actions := v.HandleHeartbeat(now, answerFrom(v, host("b", 1), 2))
			convey.So(count(actions, FetchUpdates), convey.ShouldEqual, 1)
			shouldHold(v, start+v.PlatformReadTTL, false, true)
		})
		convey.Convey("loses the upstream at once when another host owns it", func() {
			next := assignment(2)
			next.Owners = map[string]string{"s/u": "b"}
			v.HandlePeerAssignment(now, next)
			shouldHold(v, now, false, false)
		})
		convey.Convey("never goes back to an older epoch", func() {
			v.HandlePeerAssignment(now, assignment(3))
			v.HandlePlatformAssignment(now, now, assignment(2))
			convey.So(v.Epoch(), convey.ShouldEqual, 3)
		})
		convey.Convey("regains full rights one interval after a pause", func() {
			woken := now + clock.Minute
			v.HandlePlatformAssignment(woken, woken, assignment(1))
			shouldHold(v, woken, false, true)
			v.Tick(woken + v.HeartbeatInterval)
			shouldHold(v, woken+v.HeartbeatInterval, true, false)
		})
		convey.Convey("loses its rights when others report it dead", func() {
			beat := answerFrom(v, host("b", 1), 1)
			beat.Dead = []Death{{ID: "a", Incarnation: 1}}
			v.HandleHeartbeat(now, beat)
			shouldHold(v, now, false, false)
		})
	})
}

func TestSuccession(t *testing.T) {
	convey.Convey("when the owner is proven dead", t, func() {
		views := []*View{newView("b"), newView("c")}
		holders := 0
		for _, v := range views {
			v.HandlePlatformAssignment(start, start, assignment(1))
			v.Tick(start + DefaultHeartbeatInterval)
			shouldHold(v, start+DefaultHeartbeatInterval, false, false)
			v.HandleDeath(start+DefaultHeartbeatInterval, Death{ID: "a", Incarnation: 1})
			if full, _ := v.Holds(start+DefaultHeartbeatInterval, "s", "u"); full {
				holders++
			}
		}
		convey.So(holders, convey.ShouldEqual, 1)
	})
}

func TestPeerState(t *testing.T) {
	convey.Convey("a view with a known host", t, func() {
		v := newView("a")
		v.HandleHostList(start, []ListedHost{{ID: "b", PeerAddress: "b:1"}})
		actions := v.Tick(start)
		convey.So(count(actions, SendHeartbeat), convey.ShouldEqual, 1)
		shouldHavePresence(v, "b", 1, NeverSeen)
		convey.Convey("answers an unprompted heartbeat, which proves nothing about its age", func() {
			actions := v.HandleHeartbeat(start, Heartbeat{From: host("b", 1), Sequence: 9, PlatformAge: -1})
			convey.So(count(actions, SendHeartbeat), convey.ShouldEqual, 1)
			convey.So(actions[0].Heartbeat.Gossip[0].Sequence, convey.ShouldEqual, 9)
			shouldHavePresence(v, "b", 1, NeverSeen)
		})
		convey.Convey("counts a reply as old as the heartbeat that it answers", func() {
			v.HandleHeartbeat(start+100, answerFrom(v, host("b", 1), 0))
			shouldHavePresence(v, "b", 1, Present)
			v.Tick(start + v.HeartbeatTimeout)
			shouldHavePresence(v, "b", 1, Present)
			v.Tick(start + v.HeartbeatTimeout + 1)
			shouldHavePresence(v, "b", 1, Unreachable)
		})
		convey.Convey("ignores a reply to another incarnation of itself", func() {
			beat := answerFrom(v, host("b", 1), 0)
			beat.Gossip[0].Host.Incarnation = 7
			v.HandleHeartbeat(start, beat)
			shouldHavePresence(v, "b", 1, NeverSeen)
		})
		convey.Convey("treats a new incarnation as the end of the old one", func() {
			v.HandleHeartbeat(start+10, answerFrom(v, host("b", 1), 0))
			v.Tick(start + v.HeartbeatInterval)
			v.HandleHeartbeat(start+v.HeartbeatInterval+10, answerFrom(v, host("b", 2), 0))
			shouldHavePresence(v, "b", 2, Present)
			shouldHavePresence(v, "b", 1, Gone)
			convey.Convey("and ignores late state of the old one", func() {
				v.HandleHeartbeat(start+v.HeartbeatInterval+20, answerFrom(v, host("b", 1), 0))
				shouldHavePresence(v, "b", 2, Present)
			})
		})
		convey.Convey("can't tell which incarnation is newer when both answer the same round", func() {
			v.HandleHeartbeat(start+10, answerFrom(v, host("b", 2), 0))
			v.HandleHeartbeat(start+20, answerFrom(v, host("b", 1), 0))
			shouldHavePresence(v, "b", 2, Present)
			shouldHavePresence(v, "b", 1, NeverSeen)
		})
		convey.Convey("learns of other hosts by gossip, older by the age given", func() {
			beat := answerFrom(v, host("b", 1), 0)
			beat.Gossip = append(beat.Gossip, GossipEntry{Host: Host{ID: "c", Incarnation: 1}, Age: 1000})
			v.HandleHeartbeat(start, beat)
			shouldHavePresence(v, "c", 1, Present)
			v.Tick(start + v.HeartbeatTimeout - 999)
			shouldHavePresence(v, "c", 1, Unreachable)
			shouldHavePresence(v, "b", 1, Present)
		})
	})
}

func TestFindIncarnation(t *testing.T) {
	convey.Convey("an incarnation is found without its host", t, func() {
		v := &View{Self: host("a", 9)}
		v.Tick(start)
		v.HandleHeartbeat(start, answerFrom(v, host("b", 1), 0))
		v.Tick(start + v.HeartbeatInterval)
		v.HandleHeartbeat(start+v.HeartbeatInterval, answerFrom(v, host("b", 2), 0))
		for incarnation, want := range map[Incarnation]Presence{9: Present, 2: Present, 1: Gone, 7: NeverSeen} {
			_, got := v.FindIncarnation(incarnation)
			convey.So(got, convey.ShouldEqual, want)
		}
		convey.Convey("and any other incarnation of this host is gone", func() {
			shouldHavePresence(v, "a", 8, Gone)
		})
	})
}

func TestPropose(t *testing.T) {
	convey.Convey("the first host with a table and the platform writes the first assignment", t, func() {
		v := newView("a")
		v.SetTable(start, oneUpstream(1))
		v.HandlePlatformAssignment(start, start, Assignment{})
		written := firstProposal(v, start, 5*clock.Second)
		convey.So(written, convey.ShouldNotBeNil)
		convey.So(written.Epoch, convey.ShouldEqual, 0)
		convey.So(written.Owners, convey.ShouldResemble, map[string]string{"s/u": "a"})
		convey.Convey("and knows it when the write has committed", func() {
			v.HandleWriteResult(start+5*clock.Second, true, true)
			convey.So(v.Epoch(), convey.ShouldEqual, 1)
		})
		convey.Convey("and not when the reply was lost", func() {
			v.HandleWriteResult(start+5*clock.Second, false, false)
			convey.So(v.Epoch(), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("a host that cannot reach a majority writes nothing", t, func() {
		v := newView("a")
		v.SetTable(start, oneUpstream(1))
		v.HandlePlatformAssignment(start, start, assignment(1))
		convey.So(firstProposal(v, start, 30*clock.Second), convey.ShouldBeNil)
	})
	convey.Convey("a host with an older table than the row's writes nothing", t, func() {
		v := newView("a")
		v.SetTable(start, oneUpstream(1))
		row := Assignment{Epoch: 1, TableVersion: 2, Members: []Host{host("a", 1)}, Owners: map[string]string{}}
		v.HandlePlatformAssignment(start, start, row)
		convey.So(firstProposal(v, start, 10*clock.Second), convey.ShouldBeNil)
		v.SetTable(start+10*clock.Second, oneUpstream(2))
		convey.So(firstProposal(v, start+10*clock.Second, 10*clock.Second), convey.ShouldNotBeNil)
	})
}

func oneUpstream(version uint64) *table.Table {
	return &table.Table{Version: version, Services: []table.Service{
		{Name: "s", Upstreams: []table.Upstream{{Service: "s", Name: "u", AvailabilityZone: "a", Slots: 4}}},
	}}
}

// firstProposal ticks while the platform is read at each interval, and returns
// the first assignment that the view proposes; nil if there is none within
// span.
func firstProposal(v *View, from, span clock.Millis) *Assignment {
	for now := from; now < from+span; now += v.HeartbeatInterval {
		v.HandlePlatformAssignment(now, now, Assignment{Epoch: v.current.Epoch})
		for _, a := range v.Tick(now) {
			if a.Kind == WriteAssignment {
				return &a.Assignment
			}
		}
	}
	return nil
}

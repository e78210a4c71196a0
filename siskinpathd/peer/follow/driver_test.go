package follow

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

const csvText = "service,upstream,address,availability_zone,weight,slots,connections,rate_per_second,state,probes_per_second,hedge_percent,max_deadline_ms\n" +
	"booking,w1,127.0.0.1:8001,z,100,4,300,0,active,,,\n" +
	"booking,w2,127.0.0.1:8002,z,100,4,300,0,active,,,\n"

var bothHeld = map[string]int{"booking/w1": 1, "booking/w2": 1}

func TestFleetOfDrivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("three hosts adopt the table and divide its upstreams among them", t, func() {
			f := newFleet("a", "b", "c")
			defer f.stopAll()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			for i, d := range f.drivers {
				convey.So((<-f.tables[i]).Version, convey.ShouldEqual, 1)
				convey.So(d.Health(), convey.ShouldBeNil)
			}
		})
	})
}

func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host that can't reach the platform at its start waits and reports the reason", t, func() {
			f := newFleet("a")
			defer f.stopAll()
			f.platform.set(func() { f.platform.fault = errRefused })
			time.Sleep(10 * time.Second)
			convey.So(f.drivers[0].Health().Error(), convey.ShouldContainSubstring, "no table in force yet, waiting for the platform")
			convey.So(f.drivers[0].Rights(), convey.ShouldBeEmpty)
			convey.Convey("and serves once the platform is reachable again", func() {
				f.platform.put(table.RowKey, tableValue(csvText))
				f.platform.set(func() { f.platform.fault = nil })
				time.Sleep(20 * time.Second)
				convey.So(f.drivers[0].Health(), convey.ShouldBeNil)
				convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			})
		})
		convey.Convey("rights outlast an outage of the platform while hosts receive each other's heartbeats", t, func() {
			f := newFleet("a", "b", "c")
			defer f.stopAll()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			f.platform.set(func() {
				f.platform.fault = &platform.Error{Kind: platform.ConnectionLost, Cause: errors.New("timeout")}
			})
			time.Sleep(time.Minute)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			convey.So(f.drivers[0].State().PlatformReachable, convey.ShouldBeFalse)
		})
	})
}

func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("an assignment write whose reply is lost is read back and adopted", t, func() {
			f := newFleet("a")
			defer f.stopAll()
			f.platform.set(func() { f.platform.loseReply = true })
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			convey.So(counterValue(d, `assignment_writes_total{result="unknown"}`), convey.ShouldEqual, 1)
			convey.So(d.State().Member.Epoch, convey.ShouldEqual, 1)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
		})
	})
}

func TestMovedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a listed address is not attributed to a process that never announced it", t, func() {
			f := newFleet("a", "b")
			defer f.stopAll()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			f.network.mu.Lock()
			f.network.cut["b"] = true
			f.network.dialled = nil
			f.network.mu.Unlock()
			f.platform.set(func() {
				hosts := slices.Clone(f.platform.hosts)
				hosts[1].PeerAddress = movedAddress
				f.platform.hosts = hosts
			})
			time.Sleep(20 * time.Second)
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			moved := 0
			for _, h := range f.network.dialled {
				if h.ID == "b" && h.PeerAddress == movedAddress {
					moved++
					convey.So(h.Incarnation, convey.ShouldEqual, membership.Incarnation(0))
				}
			}
			convey.So(moved, convey.ShouldBeGreaterThan, 0)
		})
	})
}

const movedAddress = "127.0.0.9:7002"

func TestBindFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host whose port can't be opened writes no assignment", t, func() {
			f := newFleet()
			f.network.bindErr = errors.New("in use")
			f.add("a", 100)
			f.platform.put(table.RowKey, tableValue(csvText))
			f.drivers[0].Run(context.Background()) // returns at once
			convey.So(f.platform.rows, convey.ShouldNotContainKey, assignmentKey)
		})
	})
}

func TestInvalidRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("invalid rows are refused, and the table and assignment in force stay", t, func() {
			f := newFleet("a")
			defer f.stopAll()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			f.platform.put(table.RowKey, "}{")
			f.platform.put(assignmentKey, `{"members":[{"id":"b"},{"id":"a"}]}`)
			time.Sleep(2 * time.Second)
			convey.So(d.Table().Version, convey.ShouldEqual, 1)
			convey.So(d.State().Member.Epoch, convey.ShouldEqual, 1)
			convey.So(counterValue(d, `refused_content_total`), convey.ShouldBeGreaterThan, 0)
			convey.Convey("and are read once, not at every poll", func() {
				var before, after int
				f.platform.set(func() { before = f.platform.fullReads })
				time.Sleep(20 * time.Second)
				f.platform.set(func() { after = f.platform.fullReads })
				convey.So(after, convey.ShouldEqual, before)
			})
			convey.Convey("and do not count as a read of the platform", func() {
				time.Sleep(10 * time.Second)
				convey.So(d.State().Member.PlatformAge, convey.ShouldBeGreaterThan, 10*clock.Second)
				convey.So(f.fullRights(), convey.ShouldResemble, bothHeld) // kept by the majority, which is this host alone
			})
		})
	})
}

func TestCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host that can't reach the platform adopts a newer table from a peer's copy", t, func() {
			f := newFleet("a", "b", "c")
			defer f.stopAll()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			f.platform.set(func() { f.platform.unreachable = map[string]bool{d.Self.ID: true} })
			f.platform.put(table.RowKey, tableValue(csvText+"booking,w3,127.0.0.1:8003,z,100,4,300,0,active,,,\n"))
			time.Sleep(5 * time.Second)
			convey.So(d.Table().Version, convey.ShouldEqual, 2)
		})
	})
}

func TestTableFromMembers(t *testing.T) {
	convey.Convey("a host that has the assignment before any heartbeat of its members adopts their table", t, func() {
		f := &fleet{platform: &fakePlatform{}, network: &fakeNetwork{drivers: map[string]*Driver{}, cut: map[string]bool{}}}
		f.add("c", 103)
		d := f.drivers[0]
		d.HandleAssignmentCopy("a", 3, []byte(validAssignment))
		d.HandleTableCopy("a", 2, []byte(tableValue(csvText)))
		convey.So(d.Table(), convey.ShouldBeNil)
		for i, id := range []string{"a", "b"} {
			from := membership.Host{ID: id, Incarnation: membership.Incarnation(i + 1), PeerAddress: "127.0.0.1:1"}
			d.HandleHeartbeat(membership.Heartbeat{From: from, Sequence: 1, Epoch: 3, TableVersion: 2, PlatformAge: -1})
		}
		convey.So(d.Table(), convey.ShouldNotBeNil)
		convey.So(d.Table().Version, convey.ShouldEqual, 2)
	})
}

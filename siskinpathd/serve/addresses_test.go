package serve

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/caller"
)

// fakeFleet is a fleetView with fixed contents.
type fakeFleet struct {
	table  *table.Table
	owners []membership.Owner
	status []membership.HostStatus
}

func (f *fakeFleet) Table() *table.Table              { return f.table }
func (f *fakeFleet) Owners(string) []membership.Owner { return f.owners }
func (f *fakeFleet) Status() []membership.HostStatus  { return f.status }

func hostNamed(id string, address string) membership.Host {
	return membership.Host{ID: id, Incarnation: 7, AvailabilityZone: "gh-mid-a", CallerAddress: address}
}

func oneService() *table.Table {
	return &table.Table{Version: 1, Services: []table.Service{{Name: "booking", Upstreams: []table.Upstream{{Service: "booking", Name: "b1", Slots: 4}}}}}
}

func shouldResolveTo(f *fakeFleet, want ...string) {
	got, err := (&addressResolver{fleet: f, clock: clock.NewSystem()}).resolve("booking", "gh-mid-a")
	So(err, ShouldBeNil)
	var have []string
	for _, h := range got.Hosts {
		have = append(have, h.Address)
	}
	So(have, ShouldResemble, want)
}

func TestAddresses(t *testing.T) {
	owner := membership.Owner{Host: hostNamed("gh-1", "127.0.0.1:1"), Upstreams: []string{"b1"}, KeyWindow: 60}
	Convey("a host that knows no owner returns no address and is not ready", t, func() {
		a := &addressResolver{fleet: &fakeFleet{table: oneService()}, clock: clock.NewSystem()}
		_, err := a.resolve("booking", "gh-mid-a")
		So(err, ShouldEqual, caller.ErrNoOwner)
		So(a.checkReady(), ShouldNotBeNil)
	})
	Convey("a host that knows an owner is ready and returns its address", t, func() {
		f := &fakeFleet{table: oneService(), owners: []membership.Owner{owner}}
		So((&addressResolver{fleet: f, clock: clock.NewSystem()}).checkReady(), ShouldBeNil)
		shouldResolveTo(f, "127.0.0.1:1")
	})
	Convey("a host whose key window is not known yet is left out", t, func() {
		noWindow := owner
		noWindow.Host = hostNamed("gh-2", "127.0.0.1:2")
		noWindow.KeyWindow = 0
		shouldResolveTo(&fakeFleet{table: oneService(), owners: []membership.Owner{noWindow, owner}}, "127.0.0.1:1")
	})
	Convey("a service that is not in the table is unknown", t, func() {
		_, err := (&addressResolver{fleet: &fakeFleet{table: oneService()}}).resolve("payments", "")
		So(err, ShouldEqual, caller.ErrUnknownService)
	})
}

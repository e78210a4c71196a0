package serve

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/caller"
)

// fakeFleet is what a host knows, set by hand.
type fakeFleet struct {
	table  *table.Table
	owned  []membership.Owner
	status []membership.HostStatus
}

func (f *fakeFleet) Table() *table.Table              { return f.table }
func (f *fakeFleet) Owners(string) []membership.Owner { return f.owned }
func (f *fakeFleet) Status() []membership.HostStatus  { return f.status }
func hostNamed(id string, address string) membership.Host {
	return membership.Host{ID: id, Incarnation: 7, AvailabilityZone: "gh-mid-a", CallerAddress: address}
}

func oneService() *table.Table {
	return &table.Table{Version: 1, Services: []table.Service{{Name: "booking", Upstreams: []table.Upstream{{Service: "booking", Name: "b1", Slots: 4}}}}}
}

func shouldOffer(f *fakeFleet, want ...string) {
	got, err := (&addresses{fleet: f, clock: clock.NewSystem()}).answer("booking", "gh-mid-a")
	So(err, ShouldBeNil)
	var have []string
	for _, h := range got.Hosts {
		have = append(have, h.Address)
	}
	So(have, ShouldResemble, want)
}

func TestAddresses(t *testing.T) {
	owner := membership.Owner{Host: hostNamed("gh-1", "127.0.0.1:1"), Upstreams: []string{"b1"}, KeyWindow: 60}
	Convey("a host that knows no owner offers nobody and is not ready", t, func() {
		a := &addresses{fleet: &fakeFleet{table: oneService()}, clock: clock.NewSystem()}
		_, err := a.answer("booking", "gh-mid-a")
		So(err, ShouldEqual, caller.ErrNoOwner)
		So(a.ready(), ShouldNotBeNil)
	})
	Convey("a host that knows an owner is ready and offers it", t, func() {
		f := &fakeFleet{table: oneService(), owned: []membership.Owner{owner}}
		So((&addresses{fleet: f, clock: clock.NewSystem()}).ready(), ShouldBeNil)
		shouldOffer(f, "127.0.0.1:1")
	})
	Convey("a host whose key window is not known yet is not offered", t, func() {
		fresh := owner
		fresh.Host = hostNamed("gh-2", "127.0.0.1:2")
		fresh.KeyWindow = 0
		shouldOffer(&fakeFleet{table: oneService(), owned: []membership.Owner{fresh, owner}}, "127.0.0.1:1")
	})
	Convey("a service that the table does not name is unknown", t, func() {
		_, err := (&addresses{fleet: &fakeFleet{table: oneService()}}).answer("payments", "")
		So(err, ShouldEqual, caller.ErrUnknownService)
	})
}

package place

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/fleetlimit"
)

// TestGroups guards against groups of uneven size, hosts without upstreams, and changes
// that move many upstreams.
func TestGroups(t *testing.T) {
	zones := []string{"a", "b", "c"}
	var upstreams []Upstream
	var hosts []fleetlimit.Member
	for i := range 201 {
		upstreams = append(upstreams, Upstream{ID: fmt.Sprintf("u%d", i), AvailabilityZone: zones[i%3]})
	}
	for i := range 179 {
		hosts = append(hosts, fleetlimit.Member{ID: fmt.Sprintf("h%d", i), AvailabilityZone: zones[i%3]})
	}
	Convey("179 hosts share 201 upstreams in 8 groups", t, func() {
		users := map[string]int{}
		for _, h := range hosts {
			g := GroupOf("s", h.ID, upstreams, hosts)
			So(len(g.Upstreams), ShouldBeBetweenOrEqual, 20, 30)
			So(len(g.Hosts), ShouldBeBetweenOrEqual, 18, 27)
			So(fleetlimit.IndexOf(g.Hosts, h.ID), ShouldBeGreaterThanOrEqualTo, 0)
			for _, u := range g.Upstreams {
				users[u.ID]++
			}
		}
		Convey("all hosts of a group agree on it", func() {
			first := GroupOf("s", "h0", upstreams, hosts)
			for _, h := range first.Hosts {
				So(GroupOf("s", h.ID, upstreams, hosts), ShouldResemble, first)
			}
		})
		Convey("each upstream is used by 18 to 27 hosts", func() {
			So(users, ShouldHaveLength, len(upstreams))
			for _, n := range users {
				So(n, ShouldBeBetweenOrEqual, 18, 27)
			}
		})
		Convey("without one upstream, few others change their group", func() {
			moved := 0
			before := divide("s", 8, upstreams, func(u Upstream) (string, string) { return u.ID, u.AvailabilityZone })
			for id, g := range divide("s", 8, upstreams[1:], func(u Upstream) (string, string) { return u.ID, u.AvailabilityZone }) {
				if before[id] != g {
					moved++
				}
			}
			So(moved, ShouldBeLessThan, 20)
		})
	})
	Convey("a service of at most maxUpstreams upstreams has one group", t, func() {
		g := GroupOf("s", "h0", upstreams[:maxUpstreams], hosts)
		So(g.Upstreams, ShouldHaveLength, maxUpstreams)
		So(g.Hosts, ShouldHaveLength, len(hosts))
	})
}

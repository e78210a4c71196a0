package place

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSubset(t *testing.T) {
	zones := []string{"a", "b", "c"}
	all := make([]Upstream, 0, 324)
	for i := range 324 {
		all = append(all, Upstream{ID: fmt.Sprintf("u%d", i), AvailabilityZone: zones[i%3]})
	}
	Convey("218 hosts use 324 upstreams", t, func() {
		users := map[string]int{}
		changed := 0
		for h := range 218 {
			host := fmt.Sprintf("h%d", h)
			before := Subset(host, zones[h%3], all)
			So(before, ShouldHaveLength, maxUpstreams)
			for _, u := range before {
				users[u.ID]++
			}
			for _, u := range Subset(host, zones[h%3], all[1:]) {
				if !contains(before, u.ID) {
					changed++
				}
			}
		}
		Convey("each upstream is used by a third to three times the mean number of hosts", func() {
			for _, u := range all {
				So(users[u.ID], ShouldBeBetween, 218*maxUpstreams/324/3, 3*218*maxUpstreams/324)
			}
		})
		Convey("removing an upstream changes at most one upstream of a host's subset", func() {
			So(changed, ShouldBeLessThanOrEqualTo, users["u0"])
		})
	})
	Convey("a service of at most maxUpstreams upstreams is used as a whole", t, func() {
		So(Subset("h", "a", all[:maxUpstreams]), ShouldHaveLength, maxUpstreams)
	})
}

func contains(list []Upstream, id string) bool {
	for _, u := range list {
		if u.ID == id {
			return true
		}
	}
	return false
}

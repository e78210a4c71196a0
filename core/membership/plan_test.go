package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"siskinpath/core/table"
)

var testZones = []string{"a", "b", "c", "d"}

func drawTable(t *rapid.T) *table.Table {
	tab := &table.Table{Version: 1}
	for i := range rapid.IntRange(1, 6).Draw(t, "services") {
		s := table.Service{Name: fmt.Sprintf("s%d", i)}
		for j := range rapid.IntRange(1, 30).Draw(t, "upstreams") {
			s.Upstreams = append(s.Upstreams, table.Upstream{
				Service: s.Name, Name: fmt.Sprintf("u%02d", j), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
				AvailabilityZone: rapid.SampledFrom(testZones).Draw(t, "zone"),
			})
		}
		tab.Services = append(tab.Services, s)
	}
	return tab
}

func drawHosts(t *rapid.T) []Host {
	var hosts []Host
	for i := range rapid.IntRange(1, 25).Draw(t, "hosts") {
		hosts = append(hosts, Host{ID: fmt.Sprintf("h%02d", i), Incarnation: Incarnation(i + 1), AvailabilityZone: rapid.SampledFrom(testZones).Draw(t, "zone")})
	}
	return hosts
}

// heldBy returns the holder of each key, given its owner.
func heldBy(owners map[string]string, hosts []Host) map[string]HostRef {
	held := map[string]HostRef{}
	for key, id := range owners {
		held[key] = ownerIn(hosts, id)
	}
	return held
}

func TestProvePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, hosts := drawTable(t), drawHosts(t)
		owners := plan(tab, hosts, nil)
		checkOwned(t, tab, hosts, owners)
		checkStable(t, tab, hosts, owners)
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		if len(hosts) == 1 {
			return
		}
		left := slices.Delete(slices.Clone(hosts), gone, gone+1)
		next := plan(tab, left, heldBy(owners, hosts))
		checkOwned(t, tab, left, next)
		checkStable(t, tab, left, next)
	})
}

// checkOwned requires that every upstream is owned by a host, which is in the
// upstream's availability zone if any host is, and that nothing else is owned.
func checkOwned(t *rapid.T, tab *table.Table, hosts []Host, owners map[string]string) {
	count := 0
	for _, s := range tab.Services {
		for _, u := range s.Upstreams {
			count++
			owner := slices.IndexFunc(hosts, func(h Host) bool { return h.ID == owners[UpstreamKey(s.Name, u.Name)] })
			if owner < 0 {
				t.Fatalf("%s/%s owned by %q", s.Name, u.Name, owners[UpstreamKey(s.Name, u.Name)])
			}
			near := slices.ContainsFunc(hosts, func(h Host) bool { return h.AvailabilityZone == u.AvailabilityZone })
			if near && hosts[owner].AvailabilityZone != u.AvailabilityZone {
				t.Fatalf("%s/%s of zone %s owned in zone %s", s.Name, u.Name, u.AvailabilityZone, hosts[owner].AvailabilityZone)
			}
		}
	}
	if count != len(owners) {
		t.Fatalf("%d owners for %d upstreams", len(owners), count)
	}
}

// checkStable requires that planning from the holders of a plan gives the same
// plan.
func checkStable(t *rapid.T, tab *table.Table, hosts []Host, owners map[string]string) {
	again := plan(tab, hosts, heldBy(owners, hosts))
	if !maps.Equal(owners, again) {
		t.Fatalf("a plan made from itself differs: %v, then %v", owners, again)
	}
}

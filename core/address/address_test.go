package address

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"siskinpath/core/membership"
)

func candidate(id, zone string, slots int) Candidate {
	return Candidate{
		Host:  membership.Host{ID: id, Incarnation: 0xab, AvailabilityZone: zone, CallerAddress: id + ":7001"},
		Slots: slots, KeyWindow: 0x2a, Presence: membership.Present,
	}
}

func expectAddresses(r Response, want ...string) {
	var got []string
	for _, a := range r.Addresses {
		got = append(got, a.Address)
	}
	convey.So(got, convey.ShouldResemble, want)
}

func TestSelect(t *testing.T) {
	convey.Convey("a response", t, func() {
		in := Input{Seed: 1, Candidates: []Candidate{
			candidate("far", "b", 40), candidate("near", "a", 4), candidate("forwards", "a", 0),
		}}
		convey.Convey("lists owners in the caller's zone, owners in other zones, then hosts that only forward", func() {
			expectAddresses(Select(0, "booking", "a", in), "near:7001", "far:7001", "forwards:7001")
		})
		convey.Convey("carries the key prefix and a time to live", func() {
			r := Select(0, "booking", "a", in)
			convey.So(r.Addresses[0].KeyPrefix, convey.ShouldEqual, "00000000000000ab-2a-")
			convey.So(r.TTL, convey.ShouldEqual, DefaultTTL)
			convey.So(r.Service, convey.ShouldEqual, "booking")
		})
		convey.Convey("leaves out hosts that are leaving, unreachable, gone or without an address for callers", func() {
			in.Candidates[0].Leaving = true
			in.Candidates[1].Presence = membership.Unreachable
			in.Candidates[2].Presence = membership.Gone
			noAddress := candidate("no-address", "a", 4)
			noAddress.Host.CallerAddress = ""
			in.Candidates = append(in.Candidates, noAddress)
			expectAddresses(Select(0, "booking", "a", in))
		})
		convey.Convey("includes a host in another zone", func() {
			in.Candidates = []Candidate{candidate("far", "b", 4)}
			for i := range 6 {
				in.Candidates = append(in.Candidates, candidate(fmt.Sprintf("near%d", i), "a", 4))
			}
			r := Select(0, "booking", "a", in)
			convey.So(len(r.Addresses), convey.ShouldEqual, MaxAddresses)
			convey.So(r.Addresses[3].Address, convey.ShouldEqual, "far:7001")
		})
	})
}

func TestFirstHostWeightedBySlots(t *testing.T) {
	convey.Convey("over many seeds the share of first places is proportional to slots", t, func() {
		first := map[string]int{}
		const responses = 20000
		for seed := range uint64(responses) {
			in := Input{Seed: seed, Candidates: []Candidate{
				candidate("small", "a", 4), candidate("middle", "a", 8), candidate("large", "a", 20),
			}}
			first[Select(0, "booking", "a", in).Addresses[0].Address]++
		}
		for address, slots := range map[string]float64{"small:7001": 4, "middle:7001": 8, "large:7001": 20} {
			convey.So(float64(first[address])/responses, convey.ShouldAlmostEqual, slots/32, 0.02)
		}
	})
}

func TestProveAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Seed: rapid.Uint64().Draw(t, "seed")}
		usable := map[string]Candidate{}
		for i := range rapid.IntRange(0, 30).Draw(t, "hosts") {
			c := candidate(fmt.Sprintf("h%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "slots"))
			c.Leaving = rapid.Bool().Draw(t, "leaving")
			c.Presence = membership.Presence(rapid.IntRange(0, 3).Draw(t, "presence"))
			in.Candidates = append(in.Candidates, c)
			if !c.Leaving && c.Presence == membership.Present {
				usable[c.Host.CallerAddress] = c
			}
		}
		r := Select(0, "s", "a", in)
		if len(r.Addresses) != min(MaxAddresses, len(usable)) {
			t.Fatalf("%d addresses for %d usable hosts", len(r.Addresses), len(usable))
		}
		seen := map[string]bool{}
		for _, a := range r.Addresses {
			if _, ok := usable[a.Address]; !ok || seen[a.Address] {
				t.Fatalf("%s is not usable or listed twice", a.Address)
			}
			seen[a.Address] = true
		}
	})
}

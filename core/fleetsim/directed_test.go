package fleetsim

import (
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// directed is a course of events that brings about one rare danger.
type directed struct {
	hosts int
	links LinkFaults
	tune  func(*membership.View)
	drive func(f *Fleet)
}

// run returns the first violation of one seed.
func (d directed) run(seed uint64, spoil Ablation) string {
	f := New(Config{Seed: seed, Hosts: d.hosts, Links: d.links, ConfigureView: d.tune, Ablation: spoil})
	f.Run(15 * clock.Second)
	d.drive(f)
	f.Run(f.Now + 30*clock.Second)
	return f.Checker.Violation
}

// wantOnlyWith checks that the danger is met, and shows only when spoiled.
func (d directed) wantOnlyWith(t *testing.T, spoil Ablation) {
	t.Helper()
	const most = 12
	found := -1
	for seed := range most {
		if violation := d.run(uint64(seed), Ablation{}); violation != "" {
			t.Errorf("seed %d, nothing switched off: %s", seed, violation)
		}
		if found < 0 && strings.HasPrefix(d.run(uint64(seed), spoil), OneHolder) {
			found = seed
		}
	}
	if found < 0 {
		t.Errorf("no violation in %d seeds with the mechanism switched off", most)
	}
	t.Logf("violated at seed %d with the mechanism switched off, at none of %d with it", found, most)
}

// waitEpoch runs in steps of a millisecond until the row has a newer epoch.
func waitEpoch(f *Fleet, longest clock.Millis) {
	epoch := f.Platform.Row.Epoch
	for until := f.Now + longest; f.Now < until && f.Platform.Row.Epoch == epoch; {
		f.Run(f.Now + 1)
	}
}

func TestProveRareDangers(t *testing.T) {
	slowFence := func(v *membership.View) { v.PlatformReadTTL, v.SettleDelay = 12*clock.Second, 13*clock.Second }
	for _, c := range []struct {
		name  string
		d     directed
		spoil Ablation
	}{
		{"epoch settled at once", directed{hosts: 5, drive: minorityWithPlatform}, Ablation{Assignment: forgetPrevious}},
		{"removed hosts forgotten", directed{hosts: 5, tune: slowFence, drive: movedTwice}, Ablation{Assignment: forgetEarlier}},
		{"change of members forgotten", directed{hosts: 5, drive: killedOnJoin}, Ablation{Assignment: forgetChanged}},
		{"late heartbeats count as fresh", directed{hosts: 3, links: LinkFaults{Delay: 0.5}, drive: longFreeze}, Ablation{Heartbeat: freshen}},
		{"late reads count as fresh", directed{hosts: 3, drive: hungReader}, Ablation{TimeReadsAtEnd: true}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.d.wantOnlyWith(t, c.spoil)
		})
	}
}

// minorityWithPlatform lets a host leave, and cuts the two hosts that know of
// it from the three that don't, the leaving one among these.
func minorityWithPlatform(f *Fleet) {
	f.Hosts[4].Leave()
	waitEpoch(f, 10*clock.Second)
	f.Schedule([]Fault{{At: f.Now, For: clock.Hour, Kind: Partition, Host: 2}})
	for _, h := range f.Hosts[2:] {
		h.PlatformCut = true
	}
}

// movedTwice removes a host that is cut from its peers, keeps the news from it,
// and moves its upstreams once more right away.
func movedTwice(f *Fleet) {
	f.Hosts[4].PeersCut = true
	waitEpoch(f, 20*clock.Second)
	f.Hosts[4].PlatformCut = true
	f.Hosts[1].Leave()
}

// longFreeze freezes a host until others have taken its upstreams. When it
// wakes, late messages wait for it and nobody can be asked.
func longFreeze(f *Fleet) {
	f.Schedule([]Fault{
		{At: f.Now, For: 25 * clock.Second, Kind: Freeze, Host: 2},
		{At: f.Now + 24*clock.Second, For: clock.Hour, Kind: CutBoth, Host: 2},
	})
}

// hungReader cuts a host from everybody while a read of the platform hangs on
// its way back, until others have taken its upstreams.
func hungReader(f *Fleet) {
	f.Platform.ReadDelay = 25 * clock.Second
	f.Run(f.Now + readEvery)
	f.Platform.ReadDelay = 0
	f.Schedule([]Fault{{At: f.Now, For: clock.Hour, Kind: CutBoth, Host: 2}})
}

// killedOnJoin kills the owner of a zone in the moment in which the other host of
// that zone becomes a member, which two hosts don't hear of: the order of
// succession differs between the epochs.
func killedOnJoin(f *Fleet) {
	f.Hosts[1].Stop(Killed)
	waitEpoch(f, 10*clock.Second)
	f.Run(f.Now + 5*clock.Second)
	f.Hosts[1].Boot()
	waitEpoch(f, 10*clock.Second)
	f.Hosts[4].Stop(Killed)
	for _, h := range f.Hosts[2:4] {
		h.PlatformCut = true
		f.Links.CutPair(0, h.Index, true)
		f.Links.CutPair(1, h.Index, true)
	}
}

// TestProveReplacedAtOnce takes the power from all hosts but those that have just
// started under other names, so that no majority is left and nothing refuses.
func TestProveReplacedAtOnce(t *testing.T) {
	const s = clock.Second
	f := New(Config{Seed: 1, Hosts: 10, Start: map[int]clock.Millis{5: 20 * s, 6: 20 * s, 7: 20 * s, 8: 20 * s, 9: 20 * s}})
	f.Run(20 * s)
	for _, h := range f.Hosts[:5] {
		h.Stop(PowerOff)
	}
	f.after(10*s, func() {
		for _, h := range f.Hosts[:5] {
			h.Delisted = true
		}
	})
	start := f.Now
	if !f.RunUntil(start+100*s, f.Served) {
		t.Error("not every upstream is held again")
	}
	if f.Checker.Violation != "" {
		t.Error(f.Checker.Violation)
	}
	t.Logf("held again after %d ms", f.Now-start)
}

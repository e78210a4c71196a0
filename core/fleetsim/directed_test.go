package fleetsim

import (
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// directed is a scripted scenario that leads to one rare hazard.
type directed struct {
	hosts         int
	links         LinkFaults
	configureView func(*membership.View)
	script        func(f *Fleet)
}

// run simulates one seed and returns its first violation.
func (d directed) run(seed uint64, ablation Ablation) string {
	f := New(Config{Seed: seed, Hosts: d.hosts, Links: d.links, ConfigureView: d.configureView, Ablation: ablation})
	f.Run(15 * clock.Second)
	d.script(f)
	f.Run(f.Now + 30*clock.Second)
	return f.Checker.Violation
}

// wantViolationOnlyWith checks that the scenario reaches the hazard: a violation
// occurs with the mechanism switched off, and never with it on.
func (d directed) wantViolationOnlyWith(t *testing.T, ablation Ablation) {
	t.Helper()
	const maxSeeds = 12
	found := -1
	for seed := range maxSeeds {
		if violation := d.run(uint64(seed), Ablation{}); violation != "" {
			t.Errorf("seed %d, nothing switched off: %s", seed, violation)
		}
		if found < 0 && strings.HasPrefix(d.run(uint64(seed), ablation), OneHolder) {
			found = seed
		}
	}
	if found < 0 {
		t.Errorf("no violation in %d seeds with the mechanism switched off", maxSeeds)
	}
	t.Logf("violated at seed %d with the mechanism switched off, at none of %d with it", found, maxSeeds)
}

// waitEpoch simulates in steps of 1 ms until the row's epoch changes.
func waitEpoch(f *Fleet, timeout clock.Millis) {
	epoch := f.Platform.Row.Epoch
	for until := f.Now + timeout; f.Now < until && f.Platform.Row.Epoch == epoch; {
		f.Run(f.Now + 1)
	}
}

// TestProveRareDangers checks for each of several rare hazards that the mechanism
// against it prevents a violation, and that one occurs without the mechanism.
func TestProveRareDangers(t *testing.T) {
	slowFence := func(v *membership.View) { v.PlatformReadTTL, v.SettleDelay = 12*clock.Second, 13*clock.Second }
	for _, c := range []struct {
		name     string
		directed directed
		ablation Ablation
	}{
		{"epoch settled at once", directed{hosts: 5, script: minorityWithPlatform}, Ablation{Assignment: withoutPrevious}},
		{"removed hosts not recorded", directed{hosts: 5, configureView: slowFence, script: movedTwice}, Ablation{Assignment: withoutEarlier}},
		{"change of members not recorded", directed{hosts: 5, script: killedOnJoin}, Ablation{Assignment: withoutMembersChanged}},
		{"late heartbeats count as fresh", directed{hosts: 3, links: LinkFaults{Delay: 0.5}, script: longFreeze}, Ablation{Heartbeat: makeReplyCurrent}},
		{"late reads count as fresh", directed{hosts: 3, script: delayedRead}, Ablation{TimeReadsAtEnd: true}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.directed.wantViolationOnlyWith(t, c.ablation)
		})
	}
}

// minorityWithPlatform makes a host leave. It then partitions the fleet into two
// hosts that can read the new epoch from the platform, and three, the leaving one
// among them, that can't.
func minorityWithPlatform(f *Fleet) {
	f.Hosts[4].Leave()
	waitEpoch(f, 10*clock.Second)
	f.Schedule([]Fault{{At: f.Now, For: clock.Hour, Kind: Partition, Host: 2}})
	for _, h := range f.Hosts[2:] {
		h.PlatformCut = true
	}
}

// movedTwice has a host removed that is cut from its peers, keeps it from learning
// of its removal, and has its upstreams moved again immediately.
func movedTwice(f *Fleet) {
	f.Hosts[4].PeersCut = true
	waitEpoch(f, 20*clock.Second)
	f.Hosts[4].PlatformCut = true
	f.Hosts[1].Leave()
}

// longFreeze freezes a host until others have taken over its upstreams. When it
// wakes, late messages are waiting for it, and it can reach neither peers nor the
// platform.
func longFreeze(f *Fleet) {
	f.Schedule([]Fault{
		{At: f.Now, For: 25 * clock.Second, Kind: Freeze, Host: 2},
		{At: f.Now + 24*clock.Second, For: clock.Hour, Kind: CutBoth, Host: 2},
	})
}

// delayedRead cuts a host from peers and platform while the reply to its read of
// the platform is delayed until others have taken over its upstreams.
func delayedRead(f *Fleet) {
	f.Platform.ReadDelay = 25 * clock.Second
	f.Run(f.Now + readEvery)
	f.Platform.ReadDelay = 0
	f.Schedule([]Fault{{At: f.Now, For: clock.Hour, Kind: CutBoth, Host: 2}})
}

// killedOnJoin kills the owner of a zone's upstreams at the moment in which the
// other host of that zone becomes a member. Two hosts don't learn of the new
// member, so that the order of succession differs between the epochs in use.
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

// TestProveReplacedAtOnce guards against a fleet that stays without owners after
// all of its hosts were replaced at once. The old hosts lose power just as the new
// ones, with other ids, have started: no majority of the members is left, and no
// refused connection proves that a host is dead.
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
		t.Error("an upstream has no holder of the full right again")
	}
	if f.Checker.Violation != "" {
		t.Error(f.Checker.Violation)
	}
	t.Logf("held again after %d ms", f.Now-start)
}

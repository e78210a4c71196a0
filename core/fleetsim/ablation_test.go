package fleetsim

import (
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// TestProveEachMechanismIsNeeded switches off one mechanism at a time and requires
// that the checker finds the violation which that mechanism prevents.
func TestProveEachMechanismIsNeeded(t *testing.T) {
	base := scenario{hosts: 5, faults: 14, span: 40 * clock.Second}
	for _, c := range []struct {
		name    string
		ablated scenario
		want    string
	}{
		{"a read of the platform never expires", base.configured(func(v *membership.View) { v.PlatformReadTTL = clock.Hour }), OneHolder},
		{"state of a host never expires", base.configured(func(v *membership.View) { v.HeartbeatTimeout = clock.Hour }), OneHolder},
		{"a new owner does not wait out the fence", base.configured(func(v *membership.View) { v.SettleDelay = 1 }), OneHolder},
		{"a new owner does not know what moved", base.ablated(Ablation{Assignment: withoutMoved}), OneHolder},
		{"requests in flight are not waited for", base.configured(func(v *membership.View) { v.DelayReports = false }), Slots},
		{"a lost right keeps its bucket", base.ablated(Ablation{KeepBuckets: true}), ProbeBudget},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.ablated.wantViolation(t, c.want)
		})
	}
}

func (s scenario) configured(configureView func(*membership.View)) scenario {
	s.configureView = configureView
	return s
}

func (s scenario) ablated(ablation Ablation) scenario {
	s.ablation = ablation
	return s
}

// wantViolation runs seeds until one violates the named invariant.
func (s scenario) wantViolation(t *testing.T, name string) {
	t.Helper()
	const maxSeeds = 200
	events := 0
	for seed := range uint64(maxSeeds) {
		o := s.run(seed, nil, nil)
		events += o.events
		if strings.HasPrefix(o.violation, name) {
			t.Logf("found at seed %d after %d events: %s", seed, events, o.violation)
			return
		}
	}
	t.Errorf("no violation of %s in %d seeds, %d events", name, maxSeeds, events)
}

func withoutMoved(a membership.Assignment) membership.Assignment {
	a.Moved = nil
	return a
}

func withoutPrevious(a membership.Assignment) membership.Assignment {
	a.Earlier = append(a.Earlier, a.Previous...)
	a.Previous = nil
	return a
}

func withoutEarlier(a membership.Assignment) membership.Assignment {
	a.Earlier = nil
	return a
}

func withoutMembersChanged(a membership.Assignment) membership.Assignment {
	a.MembersChanged = 0
	return a
}

// makeReplyCurrent makes a late reply to the third host look like a reply to that
// host's newest heartbeat.
func makeReplyCurrent(to *Host, beat membership.Heartbeat) membership.Heartbeat {
	if to.Index != 2 {
		return beat
	}
	gossip := append([]membership.GossipEntry{}, beat.Gossip...)
	for i := range gossip {
		if gossip[i].Host.ID == to.ID {
			gossip[i].Sequence = to.View.Sequence()
		}
	}
	beat.Gossip = gossip
	return beat
}

package fleetsim

import (
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// TestProveEachMechanismIsNeeded switches off one mechanism at a time and wants
// the checks to find the violation that the mechanism prevents.
func TestProveEachMechanismIsNeeded(t *testing.T) {
	base := scenario{hosts: 5, faults: 14, span: 40 * clock.Second}
	for _, c := range []struct {
		name    string
		spoiled scenario
		want    string
	}{
		{"a read of the platform is good for ever", base.tuned(func(v *membership.View) { v.PlatformReadTTL = clock.Hour }), OneHolder},
		{"news of a host is good for ever", base.tuned(func(v *membership.View) { v.HeartbeatTimeout = clock.Hour }), OneHolder},
		{"a new owner does not wait out the fence", base.tuned(func(v *membership.View) { v.SettleDelay = 1 }), OneHolder},
		{"a new owner does not know what moved", base.spoiled(Ablation{Assignment: forgetMoved}), OneHolder},
		{"requests in flight are not waited for", base.tuned(func(v *membership.View) { v.DelayReports = false }), Slots},
		{"a lost right keeps its bucket", base.spoiled(Ablation{KeepBuckets: true}), ProbeBudget},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.spoiled.wantViolation(t, c.want)
		})
	}
}

func (s scenario) tuned(tune func(*membership.View)) scenario {
	s.tune = tune
	return s
}

func (s scenario) spoiled(spoil Ablation) scenario {
	s.spoil = spoil
	return s
}

// wantViolation runs seeds until one of them shows the violation.
func (s scenario) wantViolation(t *testing.T, name string) {
	t.Helper()
	const most = 200
	events := 0
	for seed := range uint64(most) {
		o := s.run(seed, nil, nil)
		events += o.events
		if strings.HasPrefix(o.violation, name) {
			t.Logf("found at seed %d after %d events: %s", seed, events, o.violation)
			return
		}
	}
	t.Errorf("no violation of %s in %d seeds, %d events", name, most, events)
}

func forgetMoved(a membership.Assignment) membership.Assignment {
	a.Moved = nil
	return a
}

func forgetPrevious(a membership.Assignment) membership.Assignment {
	a.Earlier = append(a.Earlier, a.Previous...)
	a.Previous = nil
	return a
}

func forgetEarlier(a membership.Assignment) membership.Assignment {
	a.Earlier = nil
	return a
}

func forgetChanged(a membership.Assignment) membership.Assignment {
	a.MembersChanged = 0
	return a
}

// freshen makes a late reply to the third host look like one to its newest heartbeat.
func freshen(to *Host, beat membership.Heartbeat) membership.Heartbeat {
	if to.Index != 2 {
		return beat
	}
	known := append([]membership.GossipEntry{}, beat.Gossip...)
	for i := range known {
		if known[i].Host.ID == to.ID {
			known[i].Sequence = to.View.Sequence()
		}
	}
	beat.Gossip = known
	return beat
}

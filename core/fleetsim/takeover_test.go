package fleetsim

import (
	"slices"
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// takeover is one way to lose a host of a fleet without other faults.
type takeover struct {
	name  string
	lose  func(f *Fleet, h *Host)
	bound clock.Millis // time by which another host must hold the full right to each of its upstreams
}

// TestProveTakeover loses one host of 22, or all hosts of its zone, and measures
// the time until other hosts hold the full right to each lost upstream.
func TestProveTakeover(t *testing.T) {
	for _, c := range []takeover{
		{"killed, platform up", func(_ *Fleet, h *Host) { h.Stop(Killed) }, 8 * clock.Second},
		{"killed, platform down", func(f *Fleet, h *Host) { f.Platform.Up = false; h.Stop(Killed) }, 8 * clock.Second},
		{"lost power, platform up", func(_ *Fleet, h *Host) { h.Stop(PowerOff) }, 25 * clock.Second},
		{"frozen, platform up", func(_ *Fleet, h *Host) { h.Stop(Frozen) }, 25 * clock.Second},
		{"leaving, platform up", func(_ *Fleet, h *Host) { h.Leave() }, 12 * clock.Second},
		{"zone killed, platform up", killZone(Killed), 12 * clock.Second},
		{"zone killed, platform down", withPlatformDown(killZone(Killed)), 8 * clock.Second},
		{"zone without power, platform up", killZone(PowerOff), 30 * clock.Second},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.prove(t, seedCount(t, 1, 10))
		})
	}
}

func killZone(mode Mode) func(*Fleet, *Host) {
	return func(f *Fleet, h *Host) {
		for _, other := range f.Hosts {
			if other.Zone == h.Zone {
				other.Stop(mode)
			}
		}
	}
}

func withPlatformDown(lose func(*Fleet, *Host)) func(*Fleet, *Host) {
	return func(f *Fleet, h *Host) {
		f.Platform.Up = false
		lose(f, h)
	}
}

func (c takeover) prove(t *testing.T, n uint64) {
	t.Helper()
	var took []clock.Millis
	for seed := range n {
		f := New(Config{Seed: seed, Hosts: 22})
		f.Run(20 * clock.Second)
		h := randomHolder(f)
		if h == nil {
			t.Fatalf("seed %d: no host owns anything after 20 s", seed)
		}
		start := f.Now
		c.lose(f, h)
		served := f.RunUntil(start+c.bound, func() bool { return f.Served() && (h.Mode != Running || len(fullRights(h)) == 0) })
		if f.Checker.Violation != "" {
			t.Errorf("seed %d: %s", seed, f.Checker.Violation)
		}
		if !served {
			t.Errorf("seed %d: not every upstream held after %d ms", seed, c.bound)
		}
		took = append(took, f.Now-start)
	}
	slices.Sort(took)
	t.Logf("%s: seeds_run %d takeover_ms_p50 %d takeover_ms_max %d", c.name, n, took[len(took)/2], took[len(took)-1])
}

// randomHolder returns a random host that holds the full right to some upstream, or
// nil when there is none.
func randomHolder(f *Fleet) *Host {
	var owners []*Host
	for _, h := range f.Hosts {
		if len(fullRights(h)) > 0 {
			owners = append(owners, h)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	return owners[f.rand.IntN(len(owners))]
}

func fullRights(h *Host) []membership.Right {
	rights := h.View.Rights(h.Time())
	return slices.DeleteFunc(rights, func(r membership.Right) bool { return !r.Full })
}

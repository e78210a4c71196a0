package route

import (
	"flag"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"siskinpath/core/clock"
	"siskinpath/core/seeds"
)

// defaultSequences is the number of event sequences when SISKINPATH_SEEDS is not
// set.
const defaultSequences = 100

// TestProveShard drives a shard with random events in random order. After each
// event, harness checks that shares, rates and budgets hold, that a request that
// is not idempotent is not sent again after it may have run, that nothing goes to
// leaving upstreams, and that each request ends exactly once.
func TestProveShard(t *testing.T) {
	checks, err := seeds.Count(defaultSequences)
	if err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", strconv.Itoa(checks)); err != nil {
		t.Fatal(err)
	}
	var events, violations int
	defer func() {
		if t.Failed() {
			violations = 1 // rapid stops at the first violation and prints its shortest form
		}
		t.Logf("sequences_run %d events %d violations %d", checks, events, violations)
	}()
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		h.s.Ablation.FIFOQueue = rapid.Bool().Draw(t, "arrival_first")
		h.configure(drawConfig(t))
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			events++
			randomEvent(t, h)
		}
		h.drain()
	})
}

// TestProveChecksFind falsifies one fact per case in the harness's records and
// verifies that the checks of harness report the difference.
func TestProveChecksFind(t *testing.T) {
	corruptions := map[string]func(*harness){
		"share":    func(h *harness) { h.cfg.Upstreams[0].Share-- },
		"leaving":  func(h *harness) { h.cfg.Upstreams[0].Leaving = true },
		"rate":     func(h *harness) { h.cfg.Upstreams[0].RatePerSecond = 1 },
		"owners":   func(h *harness) { h.cfg.Owners = nil },
		"once":     func(h *harness) { h.corruptOnEnd = func(r *requestRecord) { r.Idempotent = false } },
		"answered": func(h *harness) { h.corruptOnEnd = func(r *requestRecord) { r.final++ } },
		"failed": func(h *harness) {
			h.corruptOnEnd = func(r *requestRecord) { r.failedAt = append(r.failedAt, "a", "b") }
		},
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			found := 0
			h := newHarness(1, func(string, ...any) { found++ })
			h.configure(testConfig(3, 2, "h1"))
			for range 20 {
				fillAndFinish(h, 6)
			}
			if found > 0 {
				t.Fatal("the checks failed before the record was falsified")
			}
			corrupt(h)
			h.digest(Digest{Host: "h1", Free: 4, Slots: 6})
			for range 8 {
				h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
			}
			for len(h.order) > 0 && found == 0 {
				h.finish(0, ConnectionLost, nil)
			}
			if found == 0 {
				t.Fatal("the checks did not report the falsified record")
			}
		})
	}
}

func randomEvent(t *rapid.T, h *harness) {
	switch kind := rapid.IntRange(0, 19).Draw(t, "event"); {
	case kind < 7:
		h.arrive(drawRequest(t, h.now))
	case kind < 12 && len(h.order) > 0:
		i := rapid.IntRange(0, len(h.order)-1).Draw(t, "attempt")
		h.finish(i, drawStatus(t), drawLoad(t))
	case kind < 14 && len(h.forwards) > 0:
		i := rapid.IntRange(0, len(h.forwards)-1).Draw(t, "forward")
		d := drawDigest(t, "h1")
		h.endForward(i, rapid.Bool().Draw(t, "not_run"), &d)
	case kind < 15:
		h.digest(drawDigest(t, rapid.SampledFrom([]string{"h1", "h2", "nobody"}).Draw(t, "host")))
	case kind < 16:
		h.withdraw(RequestID(rapid.IntRange(0, int(h.lastID)+1).Draw(t, "withdrawn")))
	case kind < 17 && len(h.probes) > 0:
		h.endProbe(rapid.Bool().Draw(t, "probe_ok"), drawLoad(t))
	case kind < 18:
		h.configure(drawConfig(t))
	default:
		spans := []clock.Millis{1, 5, 20, 100, 1500, 6000}
		h.advance(h.now + rapid.SampledFrom(spans).Draw(t, "span"))
	}
}

func drawConfig(t *rapid.T) Config {
	cfg := Config{Self: "self", AvailabilityZone: "near", HedgePercent: 10}
	for i := range rapid.IntRange(0, 5).Draw(t, "upstreams") {
		cfg.Upstreams = append(cfg.Upstreams, Upstream{
			Name:             fmt.Sprintf("u%d", i),
			AvailabilityZone: rapid.SampledFrom([]string{"near", "far"}).Draw(t, "zone"),
			Weight:           rapid.SampledFrom([]int{0, 1, 100, 100, 1000}).Draw(t, "weight"),
			Share:            rapid.IntRange(0, 4).Draw(t, "share"),
			RatePerSecond:    rapid.SampledFrom([]int{0, 0, 3, 50}).Draw(t, "rate"),
			Leaving:          rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			ProbeAllowed:     rapid.Bool().Draw(t, "probe_allowed"),
		})
	}
	cfg.Owners = rapid.SampledFrom([][]string{nil, {"h1"}, {"h1", "h2"}}).Draw(t, "owners")
	cfg.RatePerSecond = rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "service_rate")
	return cfg
}

func drawRequest(t *rapid.T, now clock.Millis) Request {
	return Request{
		Deadline:   now + clock.Millis(rapid.IntRange(-5, 3000).Draw(t, "deadline")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Hops:       rapid.IntRange(0, 2).Draw(t, "hops"),
		Depth:      rapid.IntRange(0, 1).Draw(t, "depth"),
	}
}

func drawStatus(t *rapid.T) Status {
	all := []Status{Succeeded, Succeeded, Succeeded, Errored, Refused, NotSent, ConnectionLost, Cancelled}
	return rapid.SampledFrom(all).Draw(t, "status")
}

func drawLoad(t *rapid.T) *LoadReport {
	if rapid.Bool().Draw(t, "no_report") {
		return nil
	}
	return &LoadReport{InFlight: rapid.IntRange(0, 9).Draw(t, "in_flight"), Draining: rapid.Bool().Draw(t, "draining")}
}

func drawDigest(t *rapid.T, host string) Digest {
	return Digest{
		Host:   host,
		Free:   rapid.IntRange(0, 8).Draw(t, "free"),
		Queued: rapid.IntRange(0, 8).Draw(t, "queued"),
		Slots:  rapid.IntRange(0, 16).Draw(t, "slots"),
	}
}

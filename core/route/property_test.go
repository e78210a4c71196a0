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

// defaultSequences is the number of event defaultSequences when SISKINPATH_SEEDS says nothing.
const defaultSequences = 100

// TestProveShard drives a shard with random events in random order; world
// checks after each that shares, rates and budgets hold, that a request which
// must run once is sent once, that nothing goes to leaving upstreams, and that
// each request ends exactly once.
func TestProveShard(t *testing.T) {
	most, err := seeds.Count(defaultSequences)
	if err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", strconv.Itoa(most)); err != nil {
		t.Fatal(err)
	}
	var events, violations int
	defer func() {
		if t.Failed() {
			violations = 1 // rapid stops at the first and prints its shortest form
		}
		t.Logf("sequences_run %d events %d violations %d", most, events, violations)
	}()
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		w.s.Ablation.FIFOQueue = rapid.Bool().Draw(t, "arrival_first")
		w.configure(drawConfig(t))
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			events++
			randomEvent(t, w)
		}
		w.drain()
	})
}

// TestProveChecksFind lets the checks of world and the shard disagree on one
// thing each, and sees that the checks find it.
func TestProveChecksFind(t *testing.T) {
	spoil := map[string]func(*harness){
		"share":    func(w *harness) { w.cfg.Upstreams[0].Share-- },
		"leaving":  func(w *harness) { w.cfg.Upstreams[0].Leaving = true },
		"rate":     func(w *harness) { w.cfg.Upstreams[0].RatePerSecond = 1 },
		"owners":   func(w *harness) { w.cfg.Owners = nil },
		"once":     func(w *harness) { w.corruptOnEnd = func(r *requestRecord) { r.Idempotent = false } },
		"answered": func(w *harness) { w.corruptOnEnd = func(r *requestRecord) { r.final++ } },
		"failed": func(w *harness) {
			w.corruptOnEnd = func(r *requestRecord) { r.failedAt = append(r.failedAt, "a", "b") }
		},
	}
	for name, f := range spoil {
		t.Run(name, func(t *testing.T) {
			found := 0
			w := newHarness(1, func(string, ...any) { found++ })
			w.configure(testConfig(3, 2, "h1"))
			for range 20 {
				fillAndFinish(w, 6)
			}
			if found > 0 {
				t.Fatal("found something before it was spoilt")
			}
			f(w)
			w.digest(Digest{Host: "h1", Free: 4, Slots: 6})
			for range 8 {
				w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
			}
			for len(w.order) > 0 && found == 0 {
				w.finish(0, Lost, nil)
			}
			if found == 0 {
				t.Fatal("not found")
			}
		})
	}
}

func randomEvent(t *rapid.T, w *harness) {
	switch kind := rapid.IntRange(0, 19).Draw(t, "event"); {
	case kind < 7:
		w.arrive(drawRequest(t, w.now))
	case kind < 12 && len(w.order) > 0:
		i := rapid.IntRange(0, len(w.order)-1).Draw(t, "attempt")
		w.finish(i, drawStatus(t), drawLoad(t))
	case kind < 14 && len(w.forwards) > 0:
		i := rapid.IntRange(0, len(w.forwards)-1).Draw(t, "forward")
		d := drawDigest(t, "h1")
		w.endForward(i, rapid.Bool().Draw(t, "not_run"), &d)
	case kind < 15:
		w.digest(drawDigest(t, rapid.SampledFrom([]string{"h1", "h2", "nobody"}).Draw(t, "host")))
	case kind < 16:
		w.withdraw(RequestID(rapid.IntRange(0, int(w.lastID)+1).Draw(t, "withdrawn")))
	case kind < 17 && len(w.probes) > 0:
		w.endProbe(rapid.Bool().Draw(t, "probe_ok"), drawLoad(t))
	case kind < 18:
		w.configure(drawConfig(t))
	default:
		spans := []clock.Millis{1, 5, 20, 100, 1500, 6000}
		w.advance(w.now + rapid.SampledFrom(spans).Draw(t, "span"))
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
	all := []Status{Succeeded, Succeeded, Succeeded, Errored, Refused, NotSent, Lost, Cancelled}
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

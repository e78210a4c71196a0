package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"siskinpath/core/clock"
)

// BenchmarkRequest measures one request in a busy shard: its arrival, an answer,
// and the dispatch of a queued request.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{2, 8, 32} {
		for _, queued := range []int{0, 100} {
			b.Run(fmt.Sprintf("upstreams=%d/queued=%d", n, queued), func(b *testing.B) {
				benchmarkRequest(b, n, queued)
			})
		}
	}
}

func benchmarkRequest(b *testing.B, n, queued int) {
	const share = 4
	s := &Shard{Rand: rand.New(rand.NewPCG(1, 1)), Ablation: Ablation{NoSlowStart: true, NoAdmissionControl: true}}
	cfg := Config{Self: "self", AvailabilityZone: "near", Owners: []string{"h1", "h2"}, HedgePercent: 5}
	for i := range n {
		cfg.Upstreams = append(cfg.Upstreams, Upstream{
			Name: fmt.Sprintf("u%02d", i), AvailabilityZone: "near", Weight: 100, Share: share,
		})
	}
	now := clock.Hour
	s.Configure(now, cfg)
	var running []AttemptID
	var lastID RequestID
	collect := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Send {
				running = append(running, a.Attempt)
			}
		}
	}
	arrive := func() {
		lastID++
		collect(s.Submit(now, Request{ID: lastID, Deadline: now + clock.Hour, Idempotent: true}))
	}
	for range n*share/2 + queued*(n*share) {
		if len(running) >= n*share/2 && queued == 0 || len(s.queue.items) >= queued && queued > 0 {
			break
		}
		arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%10 == 0 {
			now++
		}
		arrive()
		id := running[0]
		running = append(running[:0], running[1:]...)
		collect(s.AttemptEnded(now, Result{Attempt: id, Status: Succeeded}))
		if next := s.NextTick(); next != 0 && next <= now {
			collect(s.Tick(now))
		}
	}
}

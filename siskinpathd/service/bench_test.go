package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// instantUpstreams answers every attempt at once, without a network.
type instantUpstreams struct{ reply upstream.Reply }

func (i *instantUpstreams) Send(_ context.Context, _, _ string, a *upstream.Attempt) (*upstream.Reply, route.Result, error) {
	if !a.MaySend() {
		return nil, route.Result{Status: route.NotSent}, nil
	}
	return &i.reply, route.Result{Status: route.Succeeded}, nil
}

func (i *instantUpstreams) Probe(context.Context, string, string) route.ProbeResult {
	return route.ProbeResult{}
}

// BenchmarkRunner measures the cost of choosing an upstream, sending and completing
// a request, without the network, by the number of upstreams that the host owns.
func BenchmarkRunner(b *testing.B) {
	for _, upstreams := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := &Runner{
				Service: "rent", HostID: "muc-1", Clock: clock.NewSystem(), Hosts: noHosts{}, MaxBodyBytes: 1024,
				Upstreams: &instantUpstreams{reply: upstream.Reply{Status: 200, Body: []byte("free")}},
				Shard:     &route.Shard{Rand: rand.New(rand.NewPCG(1, 2))},
				MayUse:    func(string, string) bool { return true },
				MayProbe:  func(string, string) bool { return false },
			}
			cfg := route.Config{Self: "muc-1"}
			for i := range upstreams {
				cfg.Upstreams = append(cfg.Upstreams, route.Upstream{Name: fmt.Sprintf("u%d", i), Weight: 100, Share: 4})
			}
			r.Configure(cfg)
			b.ReportAllocs()
			for b.Loop() {
				a := r.Do(&call.Call{Service: "rent", Method: "GET", URI: "/", Deadline: r.Clock.Now() + clock.Second, Idempotent: true})
				if a.Outcome != idempotency.Answered {
					b.Fatal(a.Reason)
				}
			}
		})
	}
}

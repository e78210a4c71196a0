package faultinjection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// Shape of the race.
const (
	operators        = 4
	editsPerOperator = 6
	operatorTimeout  = 10 * time.Second
	firstWeight      = 200 // above the weight at the start, and rising with each edit
)

// racingOperators lets operators edit the table at the same time, while the
// platform loses replies. Every edit that was accepted must be in the table.
var racingOperators = Scenario{
	Name:        "racing_operators",
	Description: "4 operators edit rows at the same moment, 20% of the writes get no reply",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 8*time.Second, usualMixes())
		if err := t.d.SetPlatformFaults(platform.Faults{LoseReplies: 0.2, ListLagMs: listLagMs}); err != nil {
			return err
		}
		race := &race{t: t, accepted: make([]int, operators)}
		race.run()
		if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.figure("edits_accepted", float64(race.good))
		t.figure("edits_refused", float64(race.refused))
		t.expect(race.good > 0, "no edit was accepted")
		return race.check(ctx)
	},
}

// race is the operators' work: each changes the weight of its own upstream.
type race struct {
	t *Trial

	mu       sync.Mutex
	accepted []int // by operator, the weight last accepted; 0 for none. Weights only rise
	good     int
	refused  int
}

func (r *race) run() {
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			for n := range editsPerOperator {
				r.edit(o, firstWeight+n)
			}
		})
	}
	wg.Wait()
}

func upstreamOf(operator int) string { return fmt.Sprintf("booking-%02d", operator+1) }

func (r *race) edit(operator, weight int) {
	p, err := r.t.d.StartOperatorClient(fmt.Sprintf("operator-%d-%d", operator, weight),
		"set", "booking", upstreamOf(operator), fmt.Sprintf("weight=%d", weight))
	ok := err == nil && p.Wait(operatorTimeout) && p.ExitCode() == 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.refused++
		return
	}
	r.good++
	r.accepted[operator] = weight
}

func (r *race) check(ctx context.Context) error {
	weights, version, err := launch.ReadWeights(r.t.d.PlatformAddress)
	if err != nil {
		return err
	}
	for o, want := range r.accepted {
		got := weights[upstreamOf(o)]
		r.t.expect(got >= want, "%s has weight %d, and %d was accepted", upstreamOf(o), got, want)
	}
	r.t.expectInForce(ctx, r.t.d.EntryHosts, version)
	return nil
}

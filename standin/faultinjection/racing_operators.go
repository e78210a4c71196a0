package faultinjection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// Concurrent edits of the table.
const (
	operators        = 4
	editsPerOperator = 6
	operatorTimeout  = 10 * time.Second
	firstWeight      = 200 // above the initial weight of 100; each edit of an operator adds 1
)

// racingOperators makes operators edit the table concurrently while the platform
// does not reply to some of the writes. Every accepted edit must be in the table.
var racingOperators = Scenario{
	Name:        "racing_operators",
	Description: "4 operators edit the table concurrently, 20% of the writes get no reply",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 8*time.Second, defaultWorkloads())
		if err := t.d.SetPlatformFaults(platform.Faults{LoseReplies: 0.2, ListLagMs: listLagMs}); err != nil {
			return err
		}
		race := &race{t: t, accepted: make([]int, operators)}
		race.run()
		if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.record("edits_accepted", float64(race.acceptedCount))
		t.record("edits_refused", float64(race.refused))
		t.expect(race.acceptedCount > 0, "no edit was accepted")
		return race.checkTable(ctx)
	},
}

// race holds the state of concurrent operators, each of which changes the weight
// of its own upstream.
type race struct {
	t *Trial

	mu            sync.Mutex
	accepted      []int // by operator: the last accepted weight, 0 for none; weights only increase
	acceptedCount int
	refused       int
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
	r.acceptedCount++
	r.accepted[operator] = weight
}

func (r *race) checkTable(ctx context.Context) error {
	weights, version, err := launch.ReadWeights(r.t.d.PlatformAddress)
	if err != nil {
		return err
	}
	for o, want := range r.accepted {
		got := weights[upstreamOf(o)]
		r.t.expect(got >= want, "%s has weight %d in the table, but the edit to %d was accepted", upstreamOf(o), got, want)
	}
	r.t.expectInForce(ctx, r.t.d.EntryHosts, version)
	return nil
}

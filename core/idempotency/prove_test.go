package idempotency

import (
	"fmt"
	"testing"

	"siskinpath/core/seeds"
)

// Numbers of seeds to run.
const (
	defaultSeeds  = 40  // in CI, with every mechanism on
	ablationSeeds = 200 // at most, with a mechanism switched off
)

func seedCount(t *testing.T) uint64 {
	n, err := seeds.Count(defaultSeeds)
	if err != nil {
		t.Fatal(err)
	}
	return uint64(n)
}

// shortest returns the shorter of two traces. An empty trace counts as missing.
func shortest(a, b string) string {
	if a == "" || b != "" && len(b) < len(a) {
		return b
	}
	return a
}

// TestProveAtMostOnce runs callers against simulated hosts under kills, freezes,
// cut links and platform outages, and checks that no key runs twice and that every
// answer is true.
func TestProveAtMostOnce(t *testing.T) {
	var total figures
	var trace string
	count := seedCount(t)
	for seed := range count {
		f := runFleet(seed, allOn)
		total.add(f.figures)
		if f.firstViolation != "" {
			trace = shortest(trace, fmt.Sprintf("seed %d: %s", seed, f.firstViolation))
		}
	}
	fmt.Printf("once: seeds %d, events %d, violations %d\n", count, total.events, total.violations)
	fmt.Printf("once: tries %d, runs %d, of these while the platform was down %d\n", total.tries, total.runs, total.runsInOutage)
	fmt.Printf("once: answered %d, not_run %d, unknown %d, lost with their host %d\n", total.answered, total.notRun, total.unknown, total.lost)
	fmt.Printf("once: claim tries %d, writes %d, transactions %d, reads %d, take-overs %d\n",
		total.claimTries, total.claimWrites, total.claimTransactions, total.claimReads, total.takeOvers)
	fmt.Printf("once: not_run to a retry, overtaken by another try's run on its way %d\n", total.lateNotRun)
	if total.violations > 0 {
		t.Fatalf("%d violations; the shortest trace:\n%s", total.violations, trace)
	}
	if total.runsInOutage == 0 || total.takeOvers == 0 || total.claimReads == 0 {
		t.Fatal("the faults did not cause a run during an outage, a take-over and a claim read")
	}
}

// TestProveEachMechanismIsNeeded switches off one mechanism at a time and checks
// that the simulation then finds a violation.
func TestProveEachMechanismIsNeeded(t *testing.T) {
	names := map[mechanism]string{
		noRetention: "retention", noReadBack: "read_back", noMaySend: "may_send",
		noIncarnation: "incarnation", noClaimRow: "claim_row",
	}
	for disabled := noRetention; disabled <= noClaimRow; disabled++ {
		t.Run(names[disabled], func(t *testing.T) {
			for seed := range uint64(ablationSeeds) {
				if f := runFleet(seed, disabled); f.figures.violations > 0 {
					fmt.Printf("once: without %s: seed %d has %d violations\n", names[disabled], seed, f.figures.violations)
					return
				}
			}
			t.Fatalf("no violation without %s in %d seeds", names[disabled], ablationSeeds)
		})
	}
}

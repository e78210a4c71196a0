package table

import (
	"fmt"
	"testing"

	"siskinpath/core/seeds"
)

// Number of seeds of a run in CI, and of each test that disables a mechanism.
const (
	defaultSeeds      = 20
	seedsPerMechanism = 50
)

func seedCount(t *testing.T) uint64 {
	n, err := seeds.Count(defaultSeeds)
	if err != nil {
		t.Fatal(err)
	}
	return uint64(n)
}

func TestProveTable(t *testing.T) {
	var total stats
	var firstViolation string
	count := seedCount(t)
	for seed := range count {
		f := runFleet(seed, allEnabled)
		total.add(f.stats)
		if firstViolation == "" && f.firstViolation != "" {
			firstViolation = fmt.Sprintf("seed %d: %s", seed, f.firstViolation)
		}
	}
	fmt.Printf("table: seeds %d, events %d, violations %d\n", count, total.events, total.violations)
	fmt.Printf("table: accepted %d, of these merged %d; conflicts %d, platform unavailable %d, of these uncertain %d\n",
		total.accepted, total.merged, total.conflicts, total.down, total.uncertain)
	fmt.Printf("table: versions put in force %d, of these from peers %d; copies deferred %d, restarts %d\n",
		total.versionsApplied, total.fromPeers, total.deferred, total.restarts)
	fmt.Printf("table: checks that a host has the newest version from the platform %d, from its peers alone %d\n",
		total.checkedViaPlatform, total.checkedViaPeers)
	if total.violations > 0 {
		t.Fatalf("%d violations; %s", total.violations, firstViolation)
	}
	if total.merged == 0 || total.conflicts == 0 || total.uncertain == 0 || total.fromPeers == 0 || total.deferred == 0 || total.checkedViaPeers == 0 {
		t.Fatal("the run did not reach every case: merges, conflicts, uncertain edits, copies from peers, deferred copies, updates by peers alone")
	}
}

func TestProveEachTableMechanismIsNeeded(t *testing.T) {
	names := map[mechanism]string{
		noMajority: "majority", noReadBack: "read_back", noCheck: "version_check", noHigherOnly: "higher_only",
	}
	for disabled := noMajority; disabled <= noHigherOnly; disabled++ {
		t.Run(names[disabled], func(t *testing.T) {
			for seed := range uint64(seedsPerMechanism) {
				if f := runFleet(seed, disabled); f.stats.violations > 0 {
					fmt.Printf("table: without %s: seed %d: %s\n", names[disabled], seed, f.firstViolation)
					return
				}
			}
			t.Fatalf("no violation without %s in %d seeds", names[disabled], seedsPerMechanism)
		})
	}
}

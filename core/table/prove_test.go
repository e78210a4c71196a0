package table

import (
	"fmt"
	"testing"

	"siskinpath/core/seeds"
)

// Seeds of a run in CI, and of the tests that take a mechanism away.
const (
	defaultSeeds = 20
	offSeeds     = 50
)

func seedCount(t *testing.T) uint64 {
	n, err := seeds.Count(defaultSeeds)
	if err != nil {
		t.Fatal(err)
	}
	return uint64(n)
}

func TestProveTable(t *testing.T) {
	var total figures
	var bad string
	count := seedCount(t)
	for seed := range count {
		f := runFleet(seed, allOn)
		total.add(f.figures)
		if bad == "" && f.firstBad != "" {
			bad = fmt.Sprintf("seed %d: %s", seed, f.firstBad)
		}
	}
	fmt.Printf("table: seeds %d, events %d, violations %d\n", count, total.events, total.violations)
	fmt.Printf("table: accepted %d, of these merged %d; conflicts %d, platform away %d, of these uncertain %d\n",
		total.accepted, total.merged, total.conflicts, total.down, total.uncertain)
	fmt.Printf("table: versions put in force %d, of these from peers %d; copies held back %d, restarts %d\n",
		total.moves, total.fromPeers, total.heldBack, total.restarts)
	fmt.Printf("table: looks at a host that must have the newest version by the platform %d, by its peers alone %d\n",
		total.dueByPlatform, total.dueByPeers)
	if total.violations > 0 {
		t.Fatalf("%d violations; %s", total.violations, bad)
	}
	if total.merged == 0 || total.conflicts == 0 || total.uncertain == 0 || total.fromPeers == 0 || total.heldBack == 0 || total.dueByPeers == 0 {
		t.Fatal("the faults did not come about")
	}
}

func TestProveEachTableMechanismIsNeeded(t *testing.T) {
	names := map[mechanism]string{
		noMajority: "majority", noReadBack: "read_back", noCheck: "version_check", noHigherOnly: "higher_only",
	}
	for off := noMajority; off <= noHigherOnly; off++ {
		t.Run(names[off], func(t *testing.T) {
			for seed := range uint64(offSeeds) {
				if f := runFleet(seed, off); f.figures.violations > 0 {
					fmt.Printf("table: without %s: seed %d: %s\n", names[off], seed, f.firstBad)
					return
				}
			}
			t.Fatalf("no violation without %s in %d seeds", names[off], offSeeds)
		})
	}
}

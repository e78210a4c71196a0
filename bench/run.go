package main

import (
	"sync"

	"siskinpath/bench/report"
	"siskinpath/bench/sim"
)

// runAll runs each scenario with seeds 1 to seeds, with the given number of workers,
// and returns one row per scenario in the order given.
func runAll(workers, seeds int, scenarios []sim.Scenario) []report.Row {
	rows := make([]report.Row, len(scenarios))
	next := make(chan int)
	var running sync.WaitGroup
	for range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range next {
				rows[i] = report.Row{Scenario: scenarios[i], Seeds: seeds, Result: runSeeds(seeds, scenarios[i])}
			}
		}()
	}
	for i := range scenarios {
		next <- i
	}
	close(next)
	running.Wait()
	return rows
}

// runSeeds runs a scenario with seeds 1 to seeds and returns the merged result.
func runSeeds(seeds int, sc sim.Scenario) *sim.Result {
	total := sim.NewResult()
	for seed := range seeds {
		sc.Seed = uint64(seed + 1)
		total.Merge(sim.Run(sc))
	}
	return total
}

package main

import (
	"context"
	"os"

	"siskinpath/standin/benchmark"
)

// benchCommand runs benchmarks on real processes.
var benchCommand = command{
	Name:  "bench",
	Help:  "Benchmark hosts as processes: added latency, requests per core, resource use when idle.",
	Value: &benchFlags{},
}

type benchFlags struct {
	Bin  string   `required:"" type:"existingdir" help:"Directory of the programs."`
	Part []string `help:"Parts to run: added, capacity, idle. Default: all."`
}

// Run runs the benchmark.
func (f *benchFlags) Run(ctx context.Context) error {
	b := &benchmark.Benchmark{BinDir: f.Bin, Parts: f.Part, Out: os.Stdout, Log: os.Stderr}
	return b.Run(ctx)
}

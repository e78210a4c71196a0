package main

import (
	"context"
	"os"

	"siskinpath/standin/benchmark"
)

// benchCommand measures real processes.
var benchCommand = command{
	Name:  "bench",
	Help:  "Measure hosts as processes: time added, requests per core, use when idle.",
	Value: &benchFlags{},
}

type benchFlags struct {
	Bin  string   `required:"" type:"existingdir" help:"Directory of the programs."`
	Part []string `help:"Parts to run, of added, capacity and idle; all without it."`
}

// Run measures.
func (f *benchFlags) Run(ctx context.Context) error {
	b := &benchmark.Benchmark{BinDir: f.Bin, Parts: f.Part, Out: os.Stdout, Log: os.Stderr}
	return b.Run(ctx)
}

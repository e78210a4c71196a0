package main

import (
	"context"
	"os"

	"siskinpath/standin/faultinjection"
)

// proveCommand injects faults into real processes.
var proveCommand = command{
	Name:  "prove",
	Help:  "Inject faults into real processes and check the invariants of the system.",
	Value: &proveFlags{},
}

type proveFlags struct {
	Bin      string   `required:"" type:"existingdir" help:"Directory of the programs."`
	Scenario []string `help:"Names of the scenarios to run. Default: all."`
	Seed     uint64   `default:"1" help:"Seed of the load."`
	Keep     bool     `help:"Keep settings and logs."`
}

// Run runs the scenarios.
func (f *proveFlags) Run(ctx context.Context) error {
	p := &faultinjection.Runner{
		BinDir:   f.Bin,
		Selected: f.Scenario,
		Seed:     f.Seed,
		Keep:     f.Keep,
		Out:      os.Stdout,
		Log:      os.Stderr,
	}
	return p.Run(ctx)
}

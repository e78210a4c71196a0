package main

import (
	"context"
	"os"

	"siskinpath/standin/faultinjection"
)

// proveCommand brings about failures of real processes.
var proveCommand = command{
	Name:  "prove",
	Help:  "Bring about failures of real processes and check what must hold.",
	Value: &proveFlags{},
}

type proveFlags struct {
	Bin      string   `required:"" type:"existingdir" help:"Directory of the programs."`
	Scenario []string `help:"Names of the scenarios to run; all without it."`
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

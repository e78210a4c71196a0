package main

import (
	"context"
	"fmt"
	"os"

	"siskinpath/standin/demo"
	"siskinpath/standin/launch"
)

// demoCommand runs a demonstration of the whole system on one machine.
var demoCommand = command{
	Name:  "demo",
	Help:  "Demonstrate the whole system on this machine within 45 s and check its invariants.",
	Value: &demoFlags{},
}

type demoFlags struct {
	Bin  string `required:"" type:"existingdir" help:"Directory of the programs."`
	Keep bool   `help:"Keep settings and logs."`
}

// Run runs the demonstration.
func (f *demoFlags) Run(ctx context.Context) error {
	dir, err := launch.MakeTempDir()
	if err != nil {
		return err
	}
	if f.Keep {
		_, _ = fmt.Fprintln(os.Stderr, "settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	m := &demo.Demo{BinDir: f.Bin, RunDir: dir, Out: os.Stdout, Log: os.Stderr}
	return m.Run(ctx)
}

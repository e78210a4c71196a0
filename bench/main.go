// Command bench compares siskinpath's load-balancing policy with well-known ones
// in discrete-event simulations, and writes the results as tables and plots.
package main

import (
	"github.com/alecthomas/kong"
)

// commands holds the subcommands, in the order shown by the help.
type commands struct {
	Policies policiesCommand `cmd:"" help:"Compare policies on the same seeds."`
	Heavy    heavyCommand    `cmd:"" help:"Simulate peak load on a service whose hosts choose upstreams independently."`
	Ablation ablationCommand `cmd:"" help:"Switch off each mechanism of the hosts' decisions in turn."`
	Failures failuresCommand `cmd:"" help:"Simulate failures with siskinpath's own policy, its ablations, random and power of two."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("bench"), kong.Description("Compares load-balancing policies in discrete-event simulations."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

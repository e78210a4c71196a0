// Command bench measures the policies of siskinpath in virtual time.
package main

import (
	"github.com/alecthomas/kong"
)

// commands are all commands, in the order in which the help shows them.
type commands struct {
	Policies policiesCommand `cmd:"" help:"Run policies side by side on the same seeds."`
	Heavy    heavyCommand    `cmd:"" help:"Play heavy days of a service whose hosts choose by themselves."`
	Failures failuresCommand `cmd:"" help:"Run failures against the project's own policy and power of two choices."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("bench"), kong.Description("Measures policies in virtual time."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

// Command siskinpathd is the entry host daemon of siskinpath.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// exitFailed is the exit code of a command that failed; wrong usage gives kong's own.
const exitFailed = 1

// command is one command of the program. Its flags hold the command's values
// and have a method Run() error.
type command struct {
	name  string
	help  string
	flags any
}

// commands lists all commands, in the order of the help.
var commands = []command{serveCommand, checkCommand, versionCommand}

func main() {
	var root struct{}
	options := []kong.Option{
		kong.Name("siskinpathd"),
		kong.Description("Entry host of siskinpath. It passes callers' requests to upstreams that can serve them in time."),
		kong.UsageOnError(),
	}
	for _, c := range commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.flags))
	}
	ctx := kong.Parse(&root, options...)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

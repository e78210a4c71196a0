// Command siskinpathd is the daemon of a siskinpath entry host. It forwards callers'
// requests to upstreams.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// exitFailed is the exit code of a command that failed. Usage errors exit with the
// code that kong sets.
const exitFailed = 1

// command is a subcommand of the program. flags is a pointer to the struct that kong
// fills in from the command line, and has a method Run() error.
type command struct {
	name  string
	help  string
	flags any
}

// commands lists all commands in the order in which the help shows them.
var commands = []command{serveCommand, checkCommand, versionCommand}

func main() {
	var root struct{}
	options := []kong.Option{
		kong.Name("siskinpathd"),
		kong.Description("Entry host daemon of siskinpath. It forwards callers' requests to upstreams that can serve them within their deadlines."),
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

// Command standin simulates the platform, the upstreams and the callers of
// siskinpath, and runs its demonstration, fault injection and benchmark.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// command is a command of this program. Value holds its flags and has a method
// Run(context.Context) error.
type command struct {
	Name  string
	Help  string
	Value any
}

// commands lists the commands in the order of the help text.
var commands = []command{
	platformCommand,
	upstreamCommand,
	callersCommand,
	demoCommand,
	proveCommand,
	benchCommand,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	options := []kong.Option{
		kong.Name("standin"),
		kong.Description("Simulates the platform, the upstreams and the callers of siskinpath."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	}
	for _, c := range commands {
		options = append(options, kong.DynamicCommand(c.Name, c.Help, "", c.Value))
	}
	parsed := kong.Parse(&struct{}{}, options...)
	parsed.FatalIfErrorf(parsed.Run())
}

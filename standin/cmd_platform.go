package main

import (
	"context"

	"siskinpath/standin/platform"
)

// platformCommand simulates the platform.
var platformCommand = command{
	Name:  "platform",
	Help:  "Simulate the platform: table service, object store and host list.",
	Value: &platformFlags{},
}

type platformFlags struct {
	Listen    string `default:"127.0.0.1:6000" help:"Address of the platform's services."`
	Control   string `help:"Additional address of the control endpoints alone. They also answer on --listen, except while it refuses connections."`
	ListLagMs int64  `default:"500" help:"Delay in milliseconds after which a change of the host list can be read."`
	Seed      uint64 `default:"1" help:"Seed of the random faults."`
}

// Run serves until ctx is done.
func (f *platformFlags) Run(ctx context.Context) error {
	s := &platform.Server{
		Listen:  f.Listen,
		Control: f.Control,
		Seed:    f.Seed,
		Faults:  platform.Faults{ListLagMs: f.ListLagMs},
	}
	return s.Run(ctx)
}

package main

import (
	"context"

	"siskinpath/standin/platform"
)

// platformCommand plays the platform.
var platformCommand = command{
	Name:  "platform",
	Help:  "Play the platform: table service, object store and host list.",
	Value: &platformFlags{},
}

type platformFlags struct {
	Listen    string `default:"127.0.0.1:6000" help:"Address of the platform's services."`
	Control   string `help:"Address of the control endpoints alone; they also answer on --listen, except while it refuses connections."`
	ListLagMs int64  `default:"500" help:"Milliseconds until a change of the host list can be read."`
	Seed      uint64 `default:"1" help:"Seed of the faults drawn at random."`
}

// Run serves until the context ends.
func (f *platformFlags) Run(ctx context.Context) error {
	s := &platform.Server{
		Listen:  f.Listen,
		Control: f.Control,
		Seed:    f.Seed,
		Faults:  platform.Faults{ListLagMs: f.ListLagMs},
	}
	return s.Run(ctx)
}

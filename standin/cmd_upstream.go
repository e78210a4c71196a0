package main

import (
	"context"

	"siskinpath/standin/upstream"
)

// upstreamCommand plays one or several upstreams.
var upstreamCommand = command{
	Name:  "upstream",
	Help:  "Play upstreams: slots, load reports, drain, cold start, shedding, straggling.",
	Value: &upstreamFlags{},
}

type upstreamFlags struct {
	Listen           string   `default:"127.0.0.1:6100" help:"Address of the first upstream; the others follow on consecutive ports."`
	Control          string   `default:"127.0.0.1:6099" help:"Address of the control endpoints."`
	Name             string   `default:"booking" help:"Name, or start of each name with --count."`
	Count            int      `default:"1" help:"How many upstreams."`
	AvailabilityZone []string `default:"gh-mid-a" help:"Availability zones, taken in turn."`
	Slots            int      `default:"4" help:"Requests that run at a time."`
	Queue            int      `default:"16" help:"Requests that may wait."`
	Connections      int      `default:"300" help:"Connections open at a time."`
	ServiceMs        float64  `default:"20" help:"Mean time of a run in milliseconds."`
	Fixed            bool     `help:"Every run takes the mean time."`
	AcceptMs         float64  `default:"1" help:"Cost of a new connection in milliseconds."`
	ProbeMs          float64  `default:"6" help:"Work of a probe in milliseconds."`
	Seed             uint64   `default:"1" help:"Seed of the times drawn at random."`
}

// Run serves until the context ends.
func (f *upstreamFlags) Run(ctx context.Context) error {
	fleet := &upstream.Fleet{
		Listen:            f.Listen,
		Control:           f.Control,
		Name:              f.Name,
		Count:             f.Count,
		AvailabilityZones: f.AvailabilityZone,
		Seed:              f.Seed,
		Behaviour: upstream.Behaviour{
			Slots:       f.Slots,
			Queue:       f.Queue,
			Connections: f.Connections,
			ServiceMs:   f.ServiceMs,
			Fixed:       f.Fixed,
			AcceptMs:    f.AcceptMs,
			ProbeMs:     f.ProbeMs,
			FailFast:    upstream.FailFastNone,
		},
	}
	return fleet.Run(ctx)
}

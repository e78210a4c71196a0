package main

import (
	"context"

	"siskinpath/standin/upstream"
)

// upstreamCommand simulates one or more upstreams.
var upstreamCommand = command{
	Name:  "upstream",
	Help:  "Simulate upstreams: slots, load reports, draining, cold start, load shedding, slowness.",
	Value: &upstreamFlags{},
}

type upstreamFlags struct {
	Listen           string   `default:"127.0.0.1:6100" help:"Address of the first upstream; the others follow on consecutive ports."`
	Control          string   `default:"127.0.0.1:6099" help:"Address of the control endpoints."`
	Name             string   `default:"booking" help:"Name of a single upstream, or the prefix of each name if --count is above 1."`
	Count            int      `default:"1" help:"Number of upstreams."`
	AvailabilityZone []string `default:"gh-mid-a" help:"Availability zones, assigned to the upstreams in turn."`
	Slots            int      `default:"4" help:"Maximum number of requests that run at a time."`
	Queue            int      `default:"16" help:"Maximum number of waiting requests; more are shed."`
	Connections      int      `default:"300" help:"Maximum number of open connections."`
	ServiceMs        float64  `default:"20" help:"Mean service time of a request in milliseconds."`
	Fixed            bool     `help:"Every request takes exactly the mean service time."`
	AcceptMs         float64  `default:"1" help:"Cost of a new connection in milliseconds."`
	ProbeMs          float64  `default:"6" help:"Time that a probe takes in milliseconds."`
	Seed             uint64   `default:"1" help:"Seed of the random service times."`
}

// Run serves until ctx is done.
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

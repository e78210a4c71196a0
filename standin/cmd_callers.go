package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"siskinpath/standin/caller"
	"siskinpath/standin/metric"
)

// callersCommand plays callers.
var callersCommand = command{
	Name:  "callers",
	Help:  "Play callers: send requests at random times, retry, check every answer.",
	Value: &callersFlags{},
}

type callersFlags struct {
	Hosts            []string      `required:"" help:"Callers' addresses of the hosts to ask for addresses."`
	AvailabilityZone []string      `default:"gh-mid-a,gh-mid-b,gh-mid-c" help:"Availability zones of the callers, taken in turn."`
	Service          string        `default:"booking" help:"Service to call."`
	Rate             float64       `default:"500" help:"Requests begun a second."`
	Once             float64       `default:"0.3" help:"Part of the requests that must happen once."`
	Unprefixed       float64       `default:"0.1" help:"Part of those whose key begins with no host's prefix."`
	DeadlineMs       int           `default:"2000" help:"Deadline of a request in milliseconds."`
	Callers          int           `default:"30" help:"Callers, each with its own kept answers."`
	Duration         time.Duration `default:"10s" help:"How long requests are begun."`
	MaxRequests      int           `default:"100000" help:"Most requests begun."`
	Seed             uint64        `default:"1" help:"Seed of times and requests."`
}

// Bounds that no flag changes.
const (
	callersMaxOpen  = 4000
	callersAttempts = 4
	organisations   = 200
)

// Run sends the load and prints what was seen.
func (f *callersFlags) Run(ctx context.Context) error {
	l := &caller.LoadGenerator{
		Hosts:             f.Hosts,
		AvailabilityZones: f.AvailabilityZone,
		Callers:           f.Callers,
		Organisations:     organisations,
		Duration:          f.Duration,
		MaxRequests:       f.MaxRequests,
		MaxInFlight:       callersMaxOpen,
		MaxAttempts:       callersAttempts,
		Seed:              f.Seed,
		Workloads: []caller.Workload{{
			Service:         f.Service,
			RatePerSecond:   f.Rate,
			OnceShare:       f.Once,
			UnprefixedShare: f.Unprefixed,
			DeadlineMs:      f.DeadlineMs,
		}},
	}
	l.Run(ctx)
	metric.Write(os.Stdout, l.Metrics())
	if !l.AnyAnswered() {
		return errors.New("callers: no request was answered; check --hosts and --service")
	}
	return nil
}

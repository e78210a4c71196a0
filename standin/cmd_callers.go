package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"siskinpath/standin/caller"
	"siskinpath/standin/metric"
)

// callersCommand simulates callers.
var callersCommand = command{
	Name:  "callers",
	Help:  "Simulate callers: send requests at random times, retry, verify every answer.",
	Value: &callersFlags{},
}

type callersFlags struct {
	Hosts            []string      `required:"" help:"Caller addresses of the hosts to request service addresses from."`
	AvailabilityZone []string      `default:"gh-mid-a,gh-mid-b,gh-mid-c" help:"Availability zones, assigned to the callers in turn."`
	Service          string        `default:"booking" help:"Service to call."`
	Rate             float64       `default:"500" help:"Mean number of requests started per second."`
	Once             float64       `default:"0.3" help:"Fraction of requests that must run only once, sent with an idempotency key."`
	Unprefixed       float64       `default:"0.1" help:"Fraction of those whose key does not begin with a host's prefix."`
	DeadlineMs       int           `default:"2000" help:"Deadline of a request in milliseconds."`
	Callers          int           `default:"30" help:"Number of callers, each with its own address cache."`
	Duration         time.Duration `default:"10s" help:"Time during which requests are started."`
	MaxRequests      int           `default:"100000" help:"Maximum number of requests."`
	Seed             uint64        `default:"1" help:"Seed of the random times and requests."`
}

// Limits of the load that cannot be set by flags.
const (
	callersMaxInFlight = 4000
	callersAttempts    = 4
	organisations      = 200
)

// Run sends the load and prints the metrics.
func (f *callersFlags) Run(ctx context.Context) error {
	l := &caller.LoadGenerator{
		Hosts:             f.Hosts,
		AvailabilityZones: f.AvailabilityZone,
		Callers:           f.Callers,
		Organisations:     organisations,
		Duration:          f.Duration,
		MaxRequests:       f.MaxRequests,
		MaxInFlight:       callersMaxInFlight,
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

// Package faultinjection injects faults into real processes under load and checks
// invariants. A scenario is in the file of its name. The metrics depend on timing and
// differ between runs.
package faultinjection

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
)

// Scenario injects one fault, or a combination of faults.
type Scenario struct {
	Name        string
	Description string
	Run         func(context.Context, *Trial) error
}

// Scenarios lists all scenarios in the order in which they run.
var Scenarios = []Scenario{
	killHost,
	freezeHost,
	freezeLeaving,
	outageRefuse,
	outageSilent,
	lostReplies,
	racingOperators,
	closedPorts,
	freshHost,
	drainUpstream,
	leavingOutage,
	gracefulStop,
	stopTwice,
	badUpstreams,
	allAtOnce,
}

const scenarioTimeout = 60 * time.Second

// Runner runs scenarios. Its exported fields must be set before Run.
type Runner struct {
	BinDir   string
	Selected []string // names of the scenarios to run; empty means all
	Seed     uint64
	Keep     bool // keep settings and logs
	Out      io.Writer
	Log      io.Writer
	ran      int
	failed   int
}

// ErrScenarioFailed is returned by Run when a scenario failed.
var ErrScenarioFailed = errors.New("a scenario failed")

// Run runs the selected scenarios one after the other and prints their metrics.
func (r *Runner) Run(ctx context.Context) error {
	for _, s := range Scenarios {
		if !r.selected(s.Name) || ctx.Err() != nil {
			continue
		}
		r.runScenario(ctx, s)
	}
	metric.Write(r.Out, []metric.Metric{
		{Name: "scenarios_run", Value: float64(r.ran)},
		{Name: "scenarios_failed", Value: float64(r.failed)},
	})
	if r.ran == 0 {
		return errors.New("prove: no scenario of that name")
	}
	if r.failed > 0 {
		return ErrScenarioFailed
	}
	return ctx.Err()
}

func (r *Runner) selected(name string) bool {
	for _, o := range r.Selected {
		if o == name {
			return true
		}
	}
	return len(r.Selected) == 0
}

func (r *Runner) runScenario(ctx context.Context, s Scenario) {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	r.ran++
	_, _ = fmt.Fprintf(r.Log, "%s: %s\n", s.Name, s.Description)
	t := &Trial{Name: s.Name, BinDir: r.BinDir, Seed: r.Seed, Log: r.Log}
	err := r.execute(ctx, s, t)
	passed := 1.0
	if err != nil || len(t.failures) > 0 {
		r.failed++
		passed = 0
	}
	if err != nil {
		_, _ = fmt.Fprintf(r.Log, "  error: %v\n", err)
	}
	for _, f := range t.failures {
		_, _ = fmt.Fprintf(r.Log, "  fault: %s\n", f)
	}
	metrics := []metric.Metric{{Name: s.Name + "_passed", Value: passed}}
	for _, f := range t.metrics {
		metrics = append(metrics, metric.Metric{Name: s.Name + "_" + f.Name, Value: f.Value})
	}
	metric.Write(r.Out, metrics)
}

func (r *Runner) execute(ctx context.Context, s Scenario, t *Trial) error {
	dir, err := launch.MakeTempDir()
	if err != nil {
		return err
	}
	if r.Keep {
		_, _ = fmt.Fprintf(r.Log, "  settings and logs: %s\n", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer t.end()
	if err := t.start(ctx, dir); err != nil {
		return err
	}
	if err := s.Run(ctx, t); err != nil {
		return err
	}
	return t.checkInvariants()
}

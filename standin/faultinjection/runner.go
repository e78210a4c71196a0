// Package faultinjection brings about failures of real processes and checks what must
// hold. Each scenario is one file. Timing sways the figures, so the results are
// printed as seen.
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

// Scenario is one failure that is brought about.
type Scenario struct {
	Name        string
	Description string
	Run         func(context.Context, *Trial) error
}

// Scenarios lists every scenario in the order in which they run.
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

// scenarioLimit bounds one scenario.
const scenarioLimit = 60 * time.Second

// Runner runs scenarios. Fields are set before Run.
type Runner struct {
	BinDir   string
	Selected []string // names of the scenarios to run; empty means all
	Seed     uint64
	Keep     bool // keep settings and logs
	Out      io.Writer
	Log      io.Writer
	tried    int
	wrong    int
}

// ErrScenarioFailed says that a scenario failed.
var ErrScenarioFailed = errors.New("a scenario failed")

// Run runs the scenarios one after the other.
func (p *Runner) Run(ctx context.Context) error {
	for _, s := range Scenarios {
		if !p.wanted(s.Name) || ctx.Err() != nil {
			continue
		}
		p.one(ctx, s)
	}
	metric.Write(p.Out, []metric.Metric{
		{Name: "scenarios_run", Value: float64(p.tried)},
		{Name: "scenarios_failed", Value: float64(p.wrong)},
	})
	if p.tried == 0 {
		return errors.New("prove: no such scenario")
	}
	if p.wrong > 0 {
		return ErrScenarioFailed
	}
	return ctx.Err()
}

func (p *Runner) wanted(name string) bool {
	for _, o := range p.Selected {
		if o == name {
			return true
		}
	}
	return len(p.Selected) == 0
}

func (p *Runner) one(ctx context.Context, s Scenario) {
	ctx, cancel := context.WithTimeout(ctx, scenarioLimit)
	defer cancel()
	p.tried++
	_, _ = fmt.Fprintf(p.Log, "%s: %s\n", s.Name, s.Description)
	t := &Trial{Name: s.Name, BinDir: p.BinDir, Seed: p.Seed, Log: p.Log}
	err := p.carryOut(ctx, s, t)
	passed := 1.0
	if err != nil || len(t.faults) > 0 {
		p.wrong++
		passed = 0
	}
	if err != nil {
		_, _ = fmt.Fprintf(p.Log, "  error: %v\n", err)
	}
	for _, f := range t.faults {
		_, _ = fmt.Fprintf(p.Log, "  fault: %s\n", f)
	}
	figures := []metric.Metric{{Name: s.Name + "_passed", Value: passed}}
	for _, f := range t.figures {
		figures = append(figures, metric.Metric{Name: s.Name + "_" + f.Name, Value: f.Value})
	}
	metric.Write(p.Out, figures)
}

func (p *Runner) carryOut(ctx context.Context, s Scenario, t *Trial) error {
	dir, err := launch.MakeTempDir()
	if err != nil {
		return err
	}
	if p.Keep {
		_, _ = fmt.Fprintf(p.Log, "  settings and logs: %s\n", dir)
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
	return t.judge()
}

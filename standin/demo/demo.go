// Package demo shows the whole system on one machine: a deployment under load
// while its table is edited, hosts are lost and the platform is away.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
	"siskinpath/standin/upstream"
)

// Shape of the demo.
const (
	hosts         = 7
	listLagMs     = 500
	loadFor       = 27 * time.Second
	limit         = 43 * time.Second // for everything, the ending of processes excluded
	serveTimeout  = 10 * time.Second
	inForceLimit  = 13 * time.Second
	organisations = 200
	callers       = 40
	attempts      = 4
	maxOpen       = 4000
	maxRequests   = 60_000
	seed          = 1
)

// Demo is one showing. Fields are set before Run.
type Demo struct {
	BinDir string    // directory of the programs
	RunDir string    // for settings and logs
	Out    io.Writer // figures
	Log    io.Writer // what happens, one line each

	d         launch.Deployment
	load      caller.Load
	marks     []consistency.LeavingMark
	inForce   time.Duration // longest
	late      int           // edits that were not in force everywhere in time
	stoppedAt int64         // Unix time in milliseconds of the SIGTERM
	stopped   *launch.EntryHost
	killed    *launch.EntryHost
	loadStart time.Time
	begun     time.Time
}

// ErrCheckFailed says that something that must hold did not.
var ErrCheckFailed = errors.New("something that must hold did not")

// Run shows everything, prints the figures, and returns ErrBroken when
// something that must hold did not. No process is left when it returns.
func (m *Demo) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "demo") }()
	m.begun = time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer m.d.Kill()
	if err := m.start(ctx); err != nil {
		return err
	}
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		m.load.Run(ctx)
	}()
	err = m.play(ctx)
	if err != nil {
		cancel()
	}
	<-loaded
	if err != nil {
		return err
	}
	return m.report()
}

func (m *Demo) start(ctx context.Context) error {
	m.d = launch.Deployment{
		BinDir:            m.BinDir,
		RunDir:            m.RunDir,
		AvailabilityZones: launch.GhanaZones(),
		Hosts:             hosts,
		Services:          launch.GhanaServices(),
		ListLagMs:         listLagMs,
	}
	if err := m.d.Start(); err != nil {
		return err
	}
	if err := m.d.WaitReady(ctx, serveTimeout); err != nil {
		return err
	}
	m.say("%d hosts answer requests", hosts)
	for _, s := range m.d.Services {
		if err := m.d.ChangeUpstream(s.Name, upstream.All, launch.UpstreamChange{Watch: new(s.Slots)}); err != nil {
			return err
		}
	}
	m.load = caller.Load{
		Hosts:             m.d.CallerAddresses(),
		AvailabilityZones: m.d.AvailabilityZones,
		Callers:           callers,
		Organisations:     organisations,
		Duration:          loadFor,
		MaxRequests:       maxRequests,
		MaxOpen:           maxOpen,
		Attempts:          attempts,
		Seed:              seed,
		Mixes: []caller.Mix{
			{Service: "booking", RatePerSecond: 1000, OnceShare: 0.3, Unprefixed: 0.1, SlowShare: 0.01, SlowMs: 400, DeadlineMs: 3000},
			{Service: "payments", RatePerSecond: 150, OnceShare: 0.7, Unprefixed: 0.1, SlowShare: 0.01, SlowMs: 400, DeadlineMs: 3000},
		},
	}
	m.loadStart = time.Now()
	return nil
}

func (m *Demo) say(format string, args ...any) {
	at := time.Since(m.begun).Seconds()
	_, _ = fmt.Fprintf(m.Log, "%5.1f s  %s\n", at, fmt.Sprintf(format, args...))
}

func (m *Demo) report() error {
	findings, err := m.findings()
	if err != nil {
		return err
	}
	upstreams, err := m.upstreamFigures()
	if err != nil {
		return err
	}
	m.d.Processes.Stop()
	cut := m.cutInFlight()
	left := m.d.Processes.Running()
	figures := m.load.Figures()
	figures = append(figures, findings.Metrics()...)
	figures = append(figures, upstreams.figures()...)
	figures = append(figures,
		metric.Metric{Name: "table_in_force_ms_max", Value: float64(m.inForce.Milliseconds())},
		metric.Metric{Name: "table_edits_late", Value: float64(m.late)},
		metric.Metric{Name: "cut_in_flight", Value: float64(cut)},
		metric.Metric{Name: "processes_left", Value: float64(left)},
		metric.Metric{Name: "run_seconds", Value: time.Since(m.begun).Round(time.Millisecond).Seconds()},
	)
	metric.Write(m.Out, figures)
	for _, line := range slices.Concat(m.load.Seconds(), m.load.Reasons(), findings.Examples) {
		_, _ = fmt.Fprintln(m.Log, line)
	}
	if !findings.None() || upstreams.overBudget || m.late+cut+left > 0 || !m.load.AnyAnswered() {
		return ErrCheckFailed
	}
	return nil
}

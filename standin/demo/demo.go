// Package demo demonstrates the whole system on one machine: a deployment under
// load while its table is edited, hosts are killed and stopped, and the platform
// is unavailable.
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

// Deployment, load and timing of the demo.
const (
	hosts          = 7
	listLagMs      = 500
	loadDuration   = 27 * time.Second
	runTimeout     = 43 * time.Second // for the whole run, except for ending the processes
	serveTimeout   = 10 * time.Second
	inForceTimeout = 13 * time.Second
	organisations  = 200
	callers        = 40
	attempts       = 4
	maxInFlight    = 4000
	maxRequests    = 60_000
	seed           = 1
)

// Demo is one run of the demo. The exported fields must be set before Run.
type Demo struct {
	BinDir string    // directory of the executables
	RunDir string    // directory for settings and logs
	Out    io.Writer // metrics
	Log    io.Writer // events, one per line

	d           launch.Deployment
	load        caller.LoadGenerator
	marks       []consistency.LeavingMark
	inForceMax  time.Duration // longest time until an edit was in force on every host
	lateEdits   int           // edits not in force on every host within inForceTimeout
	stoppedAtMs int64         // Unix time of the SIGTERM
	stopped     *launch.EntryHost
	killed      *launch.EntryHost
	loadStart   time.Time
	startedAt   time.Time
}

// ErrCheckFailed is returned by Run when an invariant was violated or no request
// was answered.
var ErrCheckFailed = errors.New("a check failed")

// Run runs the demo and prints the metrics. It returns ErrCheckFailed when a check
// failed. All processes have been ended when it returns.
func (m *Demo) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "demo") }()
	m.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	defer m.d.Kill()
	if err := m.start(ctx); err != nil {
		return err
	}
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		m.load.Run(ctx)
	}()
	err = m.runTimeline(ctx)
	if err != nil {
		cancel()
	}
	<-loadDone
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
	m.logf("%d hosts answer requests", hosts)
	for _, s := range m.d.Services {
		if err := m.d.ChangeUpstream(s.Name, upstream.All, launch.UpstreamChange{Watch: new(s.Slots)}); err != nil {
			return err
		}
	}
	m.load = caller.LoadGenerator{
		Hosts:             m.d.CallerAddresses(),
		AvailabilityZones: m.d.AvailabilityZones,
		Callers:           callers,
		Organisations:     organisations,
		Duration:          loadDuration,
		MaxRequests:       maxRequests,
		MaxInFlight:       maxInFlight,
		MaxAttempts:       attempts,
		Seed:              seed,
		Workloads: []caller.Workload{
			{Service: "booking", RatePerSecond: 1000, OnceShare: 0.3, UnprefixedShare: 0.1, SlowShare: 0.01, SlowMs: 400, DeadlineMs: 3000},
			{Service: "payments", RatePerSecond: 150, OnceShare: 0.7, UnprefixedShare: 0.1, SlowShare: 0.01, SlowMs: 400, DeadlineMs: 3000},
		},
	}
	m.loadStart = time.Now()
	return nil
}

func (m *Demo) logf(format string, args ...any) {
	at := time.Since(m.startedAt).Seconds()
	_, _ = fmt.Fprintf(m.Log, "%5.1f s  %s\n", at, fmt.Sprintf(format, args...))
}

func (m *Demo) report() error {
	violations, err := m.violations()
	if err != nil {
		return err
	}
	upstreams, err := m.upstreamCounters()
	if err != nil {
		return err
	}
	m.d.Processes.Stop()
	cut := m.cutRequests()
	left := m.d.Processes.Running()
	metrics := m.load.Metrics()
	metrics = append(metrics, violations.Metrics()...)
	metrics = append(metrics, upstreams.metrics()...)
	metrics = append(metrics,
		metric.Metric{Name: "table_in_force_ms_max", Value: float64(m.inForceMax.Milliseconds())},
		metric.Metric{Name: "table_edits_late", Value: float64(m.lateEdits)},
		metric.Metric{Name: "cut_in_flight", Value: float64(cut)},
		metric.Metric{Name: "processes_left", Value: float64(left)},
		metric.Metric{Name: "run_seconds", Value: time.Since(m.startedAt).Round(time.Millisecond).Seconds()},
	)
	metric.Write(m.Out, metrics)
	for _, line := range slices.Concat(m.load.OutcomesPerSecond(), m.load.FailureReasons(), violations.Examples) {
		_, _ = fmt.Fprintln(m.Log, line)
	}
	if !violations.None() || upstreams.overBudget || m.lateEdits+cut+left > 0 || !m.load.AnyAnswered() {
		return ErrCheckFailed
	}
	return nil
}

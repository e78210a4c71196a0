package faultinjection

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
	"siskinpath/standin/upstream"
)

// Size of a trial's deployment and load.
const (
	hostCount      = 5
	listLagMs      = 500
	serveTimeout   = 15 * time.Second
	inForceTimeout = 13 * time.Second
	organisations  = 100
	callers        = 20
	attempts       = 4
	maxInFlight    = 4000
	maxRequests    = 30_000
	deadlineMs     = 3000
)

// Trial is one run of a scenario: a deployment, its load and the results.
type Trial struct {
	Name   string
	BinDir string
	Seed   uint64
	Log    io.Writer

	d          launch.Deployment
	load       caller.LoadGenerator
	loadDone   chan struct{}
	cancelLoad context.CancelFunc
	versions   versionWatcher
	marks      []consistency.LeavingMark
	metrics    []metric.Metric
	failures   []string
	startedAt  time.Time
	mu         sync.Mutex // guards failures and metrics
}

func trialServices() []launch.Service {
	services := launch.GhanaServices()
	services[0].Upstreams = 9
	services[1].Upstreams = 3
	return services
}

func (t *Trial) start(ctx context.Context, dir string) error {
	t.startedAt = time.Now()
	t.d = launch.Deployment{
		BinDir:            t.BinDir,
		RunDir:            dir,
		AvailabilityZones: launch.GhanaZones(),
		Hosts:             hostCount,
		Services:          trialServices(),
		ListLagMs:         listLagMs,
	}
	if err := t.d.Start(); err != nil {
		return err
	}
	if err := t.d.WaitReady(ctx, serveTimeout); err != nil {
		return err
	}
	for _, s := range t.d.Services {
		if err := t.d.ChangeUpstream(s.Name, upstream.All, launch.UpstreamChange{Watch: new(s.Slots)}); err != nil {
			return err
		}
	}
	t.versions.run(ctx, &t.d)
	return nil
}

func (t *Trial) end() {
	if t.cancelLoad != nil {
		t.cancelLoad()
		<-t.loadDone
	}
	t.versions.stop()
	t.d.Kill()
}

// logf logs an event with the seconds since the start.
func (t *Trial) logf(format string, args ...any) {
	at := time.Since(t.startedAt).Seconds()
	_, _ = fmt.Fprintf(t.Log, "  %5.1f s  %s\n", at, fmt.Sprintf(format, args...))
}

// expect records a failure unless ok.
func (t *Trial) expect(ok bool, format string, args ...any) {
	if ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

func (t *Trial) record(name string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics = append(t.metrics, metric.Metric{Name: name, Value: value})
}

// defaultWorkloads is the load of most scenarios.
func defaultWorkloads() []caller.Workload {
	return []caller.Workload{
		{Service: "booking", RatePerSecond: 400, OnceShare: 0.4, UnprefixedShare: 0.1, SlowShare: 0.02, SlowMs: 300, DeadlineMs: deadlineMs},
		{Service: "payments", RatePerSecond: 80, OnceShare: 0.7, UnprefixedShare: 0.1, SlowShare: 0.02, SlowMs: 300, DeadlineMs: deadlineMs},
	}
}

// startLoad starts sending workloads for d, in the background.
func (t *Trial) startLoad(ctx context.Context, d time.Duration, workloads []caller.Workload) {
	ctx, t.cancelLoad = context.WithCancel(ctx)
	t.load = caller.LoadGenerator{
		Hosts:             t.d.CallerAddresses(),
		AvailabilityZones: t.d.AvailabilityZones,
		Callers:           callers,
		Organisations:     organisations,
		Duration:          d,
		MaxRequests:       maxRequests,
		MaxInFlight:       maxInFlight,
		MaxAttempts:       attempts,
		Seed:              t.Seed,
		Workloads:         workloads,
	}
	t.loadDone = make(chan struct{})
	go func() {
		defer close(t.loadDone)
		t.load.Run(ctx)
	}()
}

// waitLoad waits until every request has its final outcome.
func (t *Trial) waitLoad() { <-t.loadDone }

// sleep waits for d, or returns the error of ctx when that ends first.
func (t *Trial) sleep(ctx context.Context, d time.Duration) error {
	if !launch.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// edit changes the row of upstream in the table and returns the new version.
func (t *Trial) edit(upstream string, change func(*launch.UpstreamRow)) (uint64, error) {
	return t.d.WriteTable(t.d.Table.WithUpstream(upstream, change))
}

// expectInForce waits until version, or a later one, is in force on hosts, and
// records a failure after inForceTimeout.
func (t *Trial) expectInForce(ctx context.Context, hosts []*launch.EntryHost, version uint64) {
	took, ok := launch.WaitInForce(ctx, hosts, version, inForceTimeout)
	t.record("table_in_force_ms", float64(took.Milliseconds()))
	t.expect(ok, "table version %d not in force on every host after %d ms", version, took.Milliseconds())
	t.logf("table version %d in force on %d hosts after %d ms: %t", version, len(hosts), took.Milliseconds(), ok)
}

// healthy reports whether the health check of h succeeds, which means that h is
// offered to callers.
func healthy(h *launch.EntryHost) bool {
	return launch.Get(h.OperatorAddress, "/v1/health", nil) == nil
}

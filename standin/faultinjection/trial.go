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

// Shape of a trial's deployment and load.
const (
	trialHosts    = 5
	listLagMs     = 500
	serveTimeout  = 15 * time.Second
	inForceLimit  = 13 * time.Second
	organisations = 100
	callers       = 20
	attempts      = 4
	maxOpen       = 4000
	maxRequests   = 30_000
	deadlineMs    = 3000
)

// Trial is one scenario under way: a deployment, its load, and what was seen.
type Trial struct {
	Name   string
	BinDir string
	Seed   uint64
	Log    io.Writer

	d       launch.Deployment
	load    caller.Load
	loaded  chan struct{}
	cancel  context.CancelFunc
	watch   watcher
	marks   []consistency.LeavingMark
	figures []metric.Metric
	faults  []string
	begun   time.Time
	mu      sync.Mutex // guards faults and figures
}

func trialServices() []launch.Service {
	services := launch.GhanaServices()
	services[0].Upstreams = 9
	services[1].Upstreams = 3
	return services
}

func (t *Trial) start(ctx context.Context, dir string) error {
	t.begun = time.Now()
	t.d = launch.Deployment{
		BinDir:            t.BinDir,
		RunDir:            dir,
		AvailabilityZones: launch.GhanaZones(),
		Hosts:             trialHosts,
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
	t.watch.run(ctx, &t.d)
	return nil
}

func (t *Trial) end() {
	if t.cancel != nil {
		t.cancel()
		<-t.loaded
	}
	t.watch.stop()
	t.d.Kill()
}

// say tells what happens, with the seconds since the start.
func (t *Trial) say(format string, args ...any) {
	at := time.Since(t.begun).Seconds()
	_, _ = fmt.Fprintf(t.Log, "  %5.1f s  %s\n", at, fmt.Sprintf(format, args...))
}

// expect notes a fault unless ok.
func (t *Trial) expect(ok bool, format string, args ...any) {
	if ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}

func (t *Trial) figure(name string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.figures = append(t.figures, metric.Metric{Name: name, Value: value})
}

// usualMixes is the load of most scenarios.
func usualMixes() []caller.Mix {
	return []caller.Mix{
		{Service: "booking", RatePerSecond: 400, OnceShare: 0.4, Unprefixed: 0.1, SlowShare: 0.02, SlowMs: 300, DeadlineMs: deadlineMs},
		{Service: "payments", RatePerSecond: 80, OnceShare: 0.7, Unprefixed: 0.1, SlowShare: 0.02, SlowMs: 300, DeadlineMs: deadlineMs},
	}
}

// loadFor begins to send mixes for d.
func (t *Trial) loadFor(ctx context.Context, d time.Duration, mixes []caller.Mix) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.load = caller.Load{
		Hosts:             t.d.CallerAddresses(),
		AvailabilityZones: t.d.AvailabilityZones,
		Callers:           callers,
		Organisations:     organisations,
		Duration:          d,
		MaxRequests:       maxRequests,
		MaxOpen:           maxOpen,
		Attempts:          attempts,
		Seed:              t.Seed,
		Mixes:             mixes,
	}
	t.loaded = make(chan struct{})
	go func() {
		defer close(t.loaded)
		t.load.Run(ctx)
	}()
}

// waitLoad waits until every request has its final outcome.
func (t *Trial) waitLoad() { <-t.loaded }

// sleep waits for d or the end of ctx.
func (t *Trial) sleep(ctx context.Context, d time.Duration) error {
	if !launch.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// edit changes the row of upstream and returns the version written.
func (t *Trial) edit(upstream string, change func(*launch.UpstreamRow)) (uint64, error) {
	return t.d.WriteTable(t.d.Table.WithUpstream(upstream, change))
}

// expectInForce waits until version is in force on hosts.
func (t *Trial) expectInForce(ctx context.Context, hosts []*launch.EntryHost, version uint64) {
	took, ok := launch.WaitInForce(ctx, hosts, version, inForceLimit)
	t.figure("table_in_force_ms", float64(took.Milliseconds()))
	t.expect(ok, "table version %d is not in force on every host after %d ms", version, took.Milliseconds())
	t.say("table version %d in force on %d hosts after %d ms: %t", version, len(hosts), took.Milliseconds(), ok)
}

// serves tells whether h offers itself to callers.
func serves(h *launch.EntryHost) bool { return launch.Get(h.OperatorAddress, "/v1/health", nil) == nil }

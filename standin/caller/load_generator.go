package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinpath/standin/metric"
	"siskinpath/standin/payload"
)

// Workload describes the load on one service.
type Workload struct {
	Service         string
	RatePerSecond   float64 // mean rate of a Poisson process at which requests start
	OnceShare       float64 // fraction of requests that must run only once, sent with an idempotency key
	UnprefixedShare float64 // fraction of those whose key does not begin with a host's prefix
	SlowShare       float64 // fraction of requests that ask for SlowMs of work
	SlowMs          int
	DeadlineMs      int
}

// LoadGenerator sends requests at times that do not depend on the answers. The
// exported fields before RequestLog must be set before Run.
type LoadGenerator struct {
	Hosts             []string // caller addresses of the hosts that addresses are requested from
	AvailabilityZones []string
	Callers           int // each has its own AddressCache per workload
	Organisations     int
	Workloads         []Workload
	Duration          time.Duration
	MaxRequests       int // per workload
	MaxInFlight       int // requests in flight at a time; further ones are skipped and counted
	MaxAttempts       int // attempts per request
	Seed              uint64

	RequestLog RequestLog
	Counters   Counters

	pool     Pool
	latency  histograms
	inFlight chan struct{}
}

// histograms holds the latency histograms of a run.
type histograms struct {
	total metric.Histogram // time from the scheduled start of an answered request to its answer
	added metric.Histogram // duration of each answered attempt less the time reported by the upstream
}

// Run sends requests until Duration has passed, each workload has reached
// MaxRequests, or ctx is done. It then waits for the requests in flight.
func (l *LoadGenerator) Run(ctx context.Context) {
	l.inFlight = make(chan struct{}, l.MaxInFlight)
	var wg sync.WaitGroup
	defer l.pool.Close()
	for i, workload := range l.Workloads {
		wg.Go(func() { l.generate(ctx, i, workload) })
	}
	wg.Wait()
}

// generate starts the requests of one workload at exponentially distributed
// intervals.
func (l *LoadGenerator) generate(ctx context.Context, index int, workload Workload) {
	r := rand.New(rand.NewPCG(l.Seed, uint64(index)))
	s := &sender{pool: &l.pool, requestLog: &l.RequestLog, counters: &l.Counters, maxAttempts: l.MaxAttempts, latency: &l.latency}
	caches := l.newAddressCaches(r, workload.Service)
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(l.Duration)
	at := time.Now()
	for n := range l.MaxRequests {
		at = at.Add(time.Duration(r.ExpFloat64() / workload.RatePerSecond * float64(time.Second)))
		if at.After(end) || !sleepUntil(ctx, at) {
			return
		}
		j := l.drawJob(r, workload, n*len(l.Workloads)+index, at)
		j.addresses = caches[r.IntN(len(caches))]
		l.start(&wg, func() { s.send(j) })
	}
}

// start calls run in a goroutine, or skips it if MaxInFlight requests are in flight.
func (l *LoadGenerator) start(wg *sync.WaitGroup, run func()) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.Counters.Skipped.Add(1)
		return
	}
	wg.Go(func() {
		defer func() { <-l.inFlight }()
		run()
	})
}

// sleepUntil waits until at and returns true. It returns false if ctx is done
// before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *LoadGenerator) newAddressCaches(r *rand.Rand, service string) []*AddressCache {
	list := make([]*AddressCache, 0, l.Callers)
	for i := range l.Callers {
		hosts := append([]string(nil), l.Hosts...)
		r.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
		list = append(list, &AddressCache{
			Service:          service,
			AvailabilityZone: l.AvailabilityZones[i%len(l.AvailabilityZones)],
			Hosts:            hosts,
			Pool:             &l.pool,
			Counters:         &l.Counters,
		})
	}
	return list
}

// maxExtraBytes limits by how much the requested length of an answer exceeds
// payload.DefaultBytes.
const maxExtraBytes = 4096

func (l *LoadGenerator) drawJob(r *rand.Rand, workload Workload, id int, at time.Time) job {
	j := job{
		id:           id,
		service:      workload.Service,
		organisation: fmt.Sprintf("org-%d", r.IntN(l.Organisations)),
		once:         r.Float64() < workload.OnceShare,
		unprefixed:   r.Float64() < workload.UnprefixedShare,
		size:         payload.DefaultBytes + r.IntN(maxExtraBytes),
		scheduled:    at,
		deadline:     time.Duration(workload.DeadlineMs) * time.Millisecond,
	}
	if r.Float64() < workload.SlowShare {
		j.workMs = workload.SlowMs
	}
	return j
}

// AnyAnswered reports whether any request was answered.
func (l *LoadGenerator) AnyAnswered() bool { return l.latency.total.Count() > 0 }

// Metrics returns the metrics of the run, measured by the callers.
func (l *LoadGenerator) Metrics() []metric.Metric {
	records := l.RequestLog.Records()
	count := func(o Outcome) float64 {
		n := 0
		for _, r := range records {
			if r.Final == o {
				n++
			}
		}
		return float64(n)
	}
	metrics := []metric.Metric{
		{Name: "requests_sent", Value: float64(len(records))},
		{Name: "requests_skipped", Value: float64(l.Counters.Skipped.Load())},
		{Name: "answered", Value: count(Answered)},
		{Name: "refused_not_run", Value: count(NotRun)},
		{Name: "outcome_unknown", Value: count(Unknown) + count(NoReply)},
		{Name: "no_reply", Value: count(NoReply)},
		{Name: "not_sent", Value: count(NotSent)},
		{Name: "malformed", Value: count(Malformed)},
		{Name: "retries", Value: float64(l.Counters.Retries.Load())},
		{Name: "addresses_asked", Value: float64(l.Counters.AddressRequests.Load())},
		{Name: "addresses_failed", Value: float64(l.Counters.AddressFailures.Load())},
	}
	metrics = append(metrics, l.latency.total.Metrics("latency_ms")...)
	return append(metrics, l.latency.added.Metrics("added_ms")...)
}

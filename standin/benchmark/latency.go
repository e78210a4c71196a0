package benchmark

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
	"siskinpath/standin/payload"
)

// Deployment and load of the measurement of added latency.
const (
	latencyHosts    = 3
	latencyDuration = 12 * time.Second
	latencyWorkers  = 8
	latencyPause    = 4 * time.Millisecond // between two requests of one worker
	exchangeTimeout = 5 * time.Second
)

func latencyServices() []launch.Service {
	return []launch.Service{{
		Name: "booking", Upstreams: 12, Slots: 8, Connections: 300, ServiceMs: 2, Fixed: true,
		ProbesPerSecond: 2, MaxDeadlineMs: 10000,
	}}
}

// latencies holds the latencies of requests sent directly to an upstream and of
// requests proxied by a host, less the processing time that the upstream reports.
type latencies struct {
	direct  metric.Histogram
	proxied metric.Histogram
}

// addedLatency compares the latency of requests sent directly to an upstream with
// that of requests proxied by a host. Each worker sends the two kinds alternately.
func (b *Benchmark) addedLatency(ctx context.Context) (metrics []metric.Metric, err error) {
	var l latencies
	err = b.deploy(ctx, latencyHosts, latencyServices(), func(d *launch.Deployment) error {
		end := time.Now().Add(latencyDuration)
		results := make(chan error, latencyWorkers)
		for n := range latencyWorkers {
			go func() { results <- l.worker(ctx, d, n, end) }()
		}
		var first error
		for range latencyWorkers {
			if err := <-results; err != nil && first == nil {
				first = err
			}
		}
		return first
	})
	if err != nil {
		return nil, err
	}
	metrics = append(l.direct.Metrics("straight_ms"), l.proxied.Metrics("through_ms")...)
	metrics = append(metrics, l.difference()...)
	metrics = append(metrics, l.ratios()...)
	return append(metrics, metric.Metric{Name: "added_requests", Value: float64(l.proxied.Count())}), nil
}

// difference returns the percentiles of the proxied requests less those of the
// direct ones.
func (l *latencies) difference() []metric.Metric {
	direct := l.direct.Metrics("added_ms")
	proxied := l.proxied.Metrics("added_ms")
	for i := range proxied {
		proxied[i].Value = round(proxied[i].Value - direct[i].Value)
	}
	return proxied
}

// ratios returns percentiles of the proxied requests as multiples of those of the
// direct ones.
func (l *latencies) ratios() []metric.Metric {
	return []metric.Metric{
		{Name: "through_to_straight_p50", Value: round(l.proxied.PercentileMs(50) / l.direct.PercentileMs(50))},
		{Name: "through_to_straight_p99", Value: round(l.proxied.PercentileMs(99) / l.direct.PercentileMs(99))},
	}
}

// worker sends requests directly and through a host alternately until end, over
// connections of its own.
func (l *latencies) worker(ctx context.Context, d *launch.Deployment, n int, end time.Time) error {
	var pool caller.Pool
	defer pool.Close()
	addresses := caller.AddressCache{
		Service:          "booking",
		AvailabilityZone: d.AvailabilityZones[n%len(d.AvailabilityZones)],
		Hosts:            d.CallerAddresses(),
		Pool:             &pool,
		Counters:         &caller.Counters{},
	}
	upstreams := d.Table.Upstreams
	if err := openConnections(&pool, d); err != nil {
		return err
	}
	for i := 0; time.Now().Before(end) && launch.Sleep(ctx, latencyPause); i++ {
		list, err := addresses.Get()
		if err != nil {
			return err
		}
		direct := upstreams[(n+i)%len(upstreams)].Address
		marker := fmt.Sprintf("%d.%d", n, i)
		if err := timeRequest(&pool, direct, "/slots?marker=", marker, &l.direct); err != nil {
			return err
		}
		if err := timeRequest(&pool, list[0].Address, "/v1/call/booking/slots?marker=", marker, &l.proxied); err != nil {
			return errors.WithMessagef(err, "request %d of worker %d", i, n)
		}
	}
	return nil
}

// openConnections sends one unrecorded request to every upstream and host, so that
// the latencies do not include connection set-up.
func openConnections(pool *caller.Pool, d *launch.Deployment) error {
	var unused metric.Histogram
	for _, u := range d.Table.Upstreams {
		if err := timeRequest(pool, u.Address, "/slots?marker=", "connect", &unused); err != nil {
			return err
		}
	}
	for _, h := range d.EntryHosts {
		if err := timeRequest(pool, h.CallerAddress, "/v1/call/booking/slots?marker=", "connect", &unused); err != nil {
			return err
		}
	}
	return nil
}

// timeRequest sends one request and records its latency less the processing time
// that the upstream reports.
func timeRequest(pool *caller.Pool, address, path, marker string, h *metric.Histogram) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path + marker)
	req.Header.Set("Siskin-Deadline-Ms", "3000")
	req.Header.Set("Siskin-Organisation", "bench")
	start := time.Now()
	if err := pool.Exchange(address, req, resp, start.Add(exchangeTimeout)); err != nil {
		return errors.WithMessage(err, address)
	}
	latency := time.Since(start).Microseconds()
	if payload.Verify(resp.Body(), "bench", marker, payload.DefaultBytes) != payload.Intact {
		return errors.Errorf("%s: status %d, %s", address, resp.StatusCode(), resp.Header.Peek("Siskin-Reason"))
	}
	took, err := strconv.ParseInt(string(resp.Header.Peek("Siskin-Took-Us")), 10, 64)
	if err != nil {
		return errors.WithMessage(err, "Siskin-Took-Us")
	}
	h.Record(latency - took)
	return nil
}

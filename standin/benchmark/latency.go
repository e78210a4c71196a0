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

// Shape of the measurement of time added.
const (
	addedHosts    = 3
	addedFor      = 12 * time.Second
	addedWorkers  = 8
	addedPause    = 4 * time.Millisecond // between two requests of one worker
	exchangeLimit = 5 * time.Second
)

func addedServices() []launch.Service {
	return []launch.Service{{
		Name: "booking", Upstreams: 12, Slots: 8, Connections: 300, ServiceMs: 2, Fixed: true,
		ProbesPerSecond: 2, MaxDeadlineMs: 10000,
	}}
}

// ways holds the spans of the two ways to an upstream, less what the upstream
// says it took.
type ways struct {
	straight metric.Histogram
	through  metric.Histogram
}

// added sends each request twice, straight to an upstream and through a host, in
// turn, and compares.
func (b *Benchmark) added(ctx context.Context) (figures []metric.Metric, err error) {
	var w ways
	err = b.deploy(ctx, addedHosts, addedServices(), func(d *launch.Deployment) error {
		end := time.Now().Add(addedFor)
		results := make(chan error, addedWorkers)
		for n := range addedWorkers {
			go func() { results <- w.worker(ctx, d, n, end) }()
		}
		var first error
		for range addedWorkers {
			if err := <-results; err != nil && first == nil {
				first = err
			}
		}
		return first
	})
	if err != nil {
		return nil, err
	}
	figures = append(w.straight.Metrics("straight_ms"), w.through.Metrics("through_ms")...)
	figures = append(figures, w.difference()...)
	figures = append(figures, w.ratios()...)
	return append(figures, metric.Metric{Name: "added_requests", Value: float64(w.through.Count())}), nil
}

// difference returns the percentiles through a host less those straight.
func (w *ways) difference() []metric.Metric {
	straight := w.straight.Metrics("added_ms")
	through := w.through.Metrics("added_ms")
	for i := range through {
		through[i].Value = round(through[i].Value - straight[i].Value)
	}
	return through
}

// ratios returns the spans through a host as multiples of those straight.
func (w *ways) ratios() []metric.Metric {
	return []metric.Metric{
		{Name: "through_to_straight_p50", Value: round(w.through.PercentileMs(50) / w.straight.PercentileMs(50))},
		{Name: "through_to_straight_p99", Value: round(w.through.PercentileMs(99) / w.straight.PercentileMs(99))},
	}
}

// worker keeps one connection for each way and uses them in turn.
func (w *ways) worker(ctx context.Context, d *launch.Deployment, n int, end time.Time) error {
	var pool caller.Pool
	defer pool.Close()
	addresses := caller.Addresses{
		Service:          "booking",
		AvailabilityZone: d.AvailabilityZones[n%len(d.AvailabilityZones)],
		Hosts:            d.CallerAddresses(),
		Pool:             &pool,
		Counts:           &caller.Counts{},
	}
	upstreams := d.Table.Upstreams
	if err := connect(&pool, d); err != nil {
		return err
	}
	for i := 0; time.Now().Before(end) && launch.Sleep(ctx, addedPause); i++ {
		list, err := addresses.Get()
		if err != nil {
			return err
		}
		straight := upstreams[(n+i)%len(upstreams)].Address
		marker := fmt.Sprintf("%d.%d", n, i)
		if err := timed(&pool, straight, "/slots?marker=", marker, &w.straight); err != nil {
			return err
		}
		if err := timed(&pool, list[0].Address, "/v1/call/booking/slots?marker=", marker, &w.through); err != nil {
			return errors.WithMessagef(err, "request %d of worker %d", i, n)
		}
	}
	return nil
}

// connect sends one request each way that isn't recorded, so that opening a
// connection counts on neither.
func connect(pool *caller.Pool, d *launch.Deployment) error {
	var unused metric.Histogram
	for _, u := range d.Table.Upstreams {
		if err := timed(pool, u.Address, "/slots?marker=", "connect", &unused); err != nil {
			return err
		}
	}
	for _, h := range d.EntryHosts {
		if err := timed(pool, h.CallerAddress, "/v1/call/booking/slots?marker=", "connect", &unused); err != nil {
			return err
		}
	}
	return nil
}

// timed sends one request and records its span less what the upstream took.
func timed(pool *caller.Pool, address, path, marker string, h *metric.Histogram) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path + marker)
	req.Header.Set("Siskin-Deadline-Ms", "3000")
	req.Header.Set("Siskin-Organisation", "bench")
	start := time.Now()
	if err := pool.Exchange(address, req, resp, start.Add(exchangeLimit)); err != nil {
		return errors.WithMessage(err, address)
	}
	span := time.Since(start).Microseconds()
	if payload.Verify(resp.Body(), "bench", marker, payload.DefaultBytes) != payload.Intact {
		return errors.Errorf("%s: status %d, %s", address, resp.StatusCode(), resp.Header.Peek("Siskin-Reason"))
	}
	took, err := strconv.ParseInt(string(resp.Header.Peek("Siskin-Took-Us")), 10, 64)
	if err != nil {
		return errors.WithMessage(err, "Siskin-Took-Us")
	}
	h.Record(span - took)
	return nil
}

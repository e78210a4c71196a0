package benchmark

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
)

// Load of the throughput measurement.
const (
	capacityDuration = 6 * time.Second
	capacityWorkers  = 48
)

func capacityServices() []launch.Service {
	return []launch.Service{{
		Name: "booking", Upstreams: 8, Slots: 64, Connections: 300, ServiceMs: 0.2, Fixed: true,
		ProbesPerSecond: 2, MaxDeadlineMs: 10000,
	}}
}

// capacity saturates one host and divides the number of answered requests by the
// CPU time that the host used.
func (b *Benchmark) capacity(ctx context.Context) (metrics []metric.Metric, err error) {
	var done, failed atomic.Int64
	var latency metric.Histogram
	var used launch.Usage
	var seconds float64
	err = b.deploy(ctx, 1, capacityServices(), func(d *launch.Deployment) error {
		h := d.EntryHosts[0]
		before, err := launch.ReadUsage(h.Process.Pid)
		if err != nil {
			return err
		}
		start := time.Now()
		saturate(ctx, h.CallerAddress, start.Add(capacityDuration), &latency, &done, &failed)
		seconds = time.Since(start).Seconds()
		after, err := launch.ReadUsage(h.Process.Pid)
		used = after.Sub(before)
		return err
	})
	if err != nil {
		return nil, err
	}
	return []metric.Metric{
		{Name: "capacity_requests_per_second", Value: round(float64(done.Load()) / seconds)},
		{Name: "capacity_failed", Value: float64(failed.Load())},
		{Name: "capacity_cores_used", Value: round(used.CPU.Seconds() / seconds)},
		{Name: "capacity_requests_per_core_second", Value: round(float64(done.Load()) / used.CPU.Seconds())},
		{Name: "capacity_resident_mb", Value: round(float64(used.ResidentBytes) / (1 << 20))},
		{Name: "capacity_added_ms_p50", Value: latency.PercentileMs(50)},
		{Name: "capacity_added_ms_p99", Value: latency.PercentileMs(99)},
	}, nil
}

// saturate sends requests until end, without pauses, from capacityWorkers
// concurrent workers with one connection each.
func saturate(ctx context.Context, address string, end time.Time, latency *metric.Histogram, done, failed *atomic.Int64) {
	ended := make(chan struct{})
	for n := range capacityWorkers {
		go func() {
			defer func() { ended <- struct{}{} }()
			var pool caller.Pool
			defer pool.Close()
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				if timeRequest(&pool, address, "/v1/call/booking/slots?marker=", fmt.Sprintf("%d.%d", n, i), latency) != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
			}
		}()
	}
	for range capacityWorkers {
		<-ended
	}
}

package benchmark

import (
	"context"
	"fmt"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
)

// Deployment and timing of the measurement of idle hosts.
const (
	idleSettleTime = 6 * time.Second // until hosts have joined and assignments have spread
	idleDuration   = 4 * time.Second
	baseHosts      = 4
	baseServices   = 2
	baseUpstreams  = 16 // over all services

	// Size of the planned region that docs/CAPACITY.md assumes.
	regionHosts     = 22
	regionServices  = 7
	regionUpstreams = 224
)

// size is the size of a deployment that is measured idle.
type size struct {
	hosts     int
	services  int
	upstreams int // over all services
}

// sweep is a list of deployments that differ in one dimension.
type sweep struct {
	name  string
	sizes []size
	x     func(size) int // value of the dimension that varies; nil for a single deployment
}

var sweeps = []sweep{
	{"host", []size{{2, baseServices, baseUpstreams}, {baseHosts, baseServices, baseUpstreams},
		{8, baseServices, baseUpstreams}, {16, baseServices, baseUpstreams},
		{regionHosts, baseServices, baseUpstreams}}, func(s size) int { return s.hosts }},
	{"upstream", []size{{baseHosts, baseServices, baseUpstreams}, {baseHosts, baseServices, 128}},
		func(s size) int { return s.upstreams }},
	{"service", []size{{baseHosts, baseServices, baseUpstreams}, {baseHosts, 8, baseUpstreams}},
		func(s size) int { return s.services }},
	{"region", []size{{regionHosts, regionServices, regionUpstreams}}, nil},
}

// idleUsage is the mean usage of one host.
type idleUsage struct {
	corePercent            float64
	bytesPerSecond         float64
	residentMB             float64
	platformCallsPerSecond float64 // calls of all hosts together
}

// idle measures deployments of several sizes without load, and the slopes of CPU
// time, bytes and memory per added host, upstream and service.
func (b *Benchmark) idle(ctx context.Context) (metrics []metric.Metric, err error) {
	measured := map[size]idleUsage{}
	for _, sw := range sweeps {
		for _, s := range sw.sizes {
			if _, ok := measured[s]; ok {
				continue
			}
			use, err := b.measureDeployment(ctx, s)
			if err != nil {
				return nil, err
			}
			measured[s] = use
			metrics = append(metrics, use.metrics(s)...)
		}
		if sw.x != nil {
			metrics = append(metrics, slopes(sw, measured)...)
		}
	}
	return metrics, nil
}

func (u idleUsage) metrics(s size) []metric.Metric {
	at := fmt.Sprintf("_hosts_%d_services_%d_upstreams_%d", s.hosts, s.services, s.upstreams)
	return []metric.Metric{
		{Name: "idle_core_percent" + at, Value: round(u.corePercent)},
		{Name: "idle_bytes_per_second" + at, Value: round(u.bytesPerSecond)},
		{Name: "idle_resident_mb" + at, Value: round(u.residentMB)},
		{Name: "idle_platform_calls_per_second" + at, Value: round(u.platformCallsPerSecond)},
	}
}

// slopes returns the slopes of the usage over the dimension that varies in sw.
func slopes(sw sweep, measured map[size]idleUsage) []metric.Metric {
	var core, bytes, resident []metric.Point
	for _, s := range sw.sizes {
		x, u := float64(sw.x(s)), measured[s]
		core = append(core, metric.Point{X: x, Y: u.corePercent})
		bytes = append(bytes, metric.Point{X: x, Y: u.bytesPerSecond})
		resident = append(resident, metric.Point{X: x, Y: u.residentMB})
	}
	named := func(name string, points []metric.Point) metric.Metric {
		slope, _ := metric.LinearFit(points)
		return metric.Metric{Name: "idle_" + name + "_slope_per_" + sw.name, Value: round(slope)}
	}
	return []metric.Metric{
		named("core_percent", core), named("bytes_per_second", bytes), named("resident_mb", resident),
	}
}

func idleServices(s size) []launch.Service {
	services := make([]launch.Service, 0, s.services)
	for i := range s.services {
		services = append(services, launch.Service{
			Name: fmt.Sprintf("service%d", i+1), Upstreams: s.upstreams / s.services, Slots: 4, Connections: 300,
			ServiceMs: 20, ProbesPerSecond: 2, MaxDeadlineMs: 10000,
		})
	}
	return services
}

func (b *Benchmark) measureDeployment(ctx context.Context, s size) (use idleUsage, err error) {
	b.logf("idle: %d hosts, %d services, %d upstreams", s.hosts, s.services, s.upstreams)
	err = b.deploy(ctx, s.hosts, idleServices(s), func(d *launch.Deployment) error {
		if !launch.Sleep(ctx, idleSettleTime) {
			return ctx.Err()
		}
		use, err = measureIdle(ctx, d)
		return err
	})
	return use, err
}

func measureIdle(ctx context.Context, d *launch.Deployment) (use idleUsage, err error) {
	before, calls, err := readCounters(d)
	if err != nil {
		return use, err
	}
	start := time.Now()
	if !launch.Sleep(ctx, idleDuration) {
		return use, ctx.Err()
	}
	after, callsAfter, err := readCounters(d)
	if err != nil {
		return use, err
	}
	seconds := time.Since(start).Seconds()
	n := float64(len(after))
	for i := range after {
		used := after[i].Sub(before[i])
		use.corePercent += 100 * used.CPU.Seconds() / seconds / n
		use.bytesPerSecond += float64(used.IOBytes) / seconds / n
		use.residentMB += float64(used.ResidentBytes) / (1 << 20) / n
	}
	use.platformCallsPerSecond = (callsAfter - calls) / seconds
	return use, nil
}

// readCounters returns the usage of every host and the number of calls that the
// platform received.
func readCounters(d *launch.Deployment) (usage []launch.Usage, calls float64, err error) {
	for _, h := range d.EntryHosts {
		u, err := launch.ReadUsage(h.Process.Pid)
		if err != nil {
			return nil, 0, err
		}
		usage = append(usage, u)
	}
	counts, err := d.PlatformCounts()
	return usage, float64(counts.Reads + counts.Writes + counts.HostLists), err
}

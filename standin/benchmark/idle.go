package benchmark

import (
	"context"
	"fmt"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
)

// Shape of the measurement of idle hosts.
const (
	idleSettle    = 6 * time.Second // joins are over and assignments have been passed on
	idleFor       = 4 * time.Second
	baseHosts     = 4
	baseServices  = 2
	baseUpstreams = 16 // over all services

	// A region of the planned size, as docs/CAPACITY.md assumes it.
	regionHosts     = 22
	regionServices  = 7
	regionUpstreams = 224
)

// size is one deployment that is measured idle.
type size struct {
	hosts     int
	services  int
	upstreams int // over all services
}

// axis is what varies between deployments whose other numbers are the same.
type axis struct {
	name  string
	sizes []size
	x     func(size) int // nil when nothing varies
}

var axes = []axis{
	{"host", []size{{2, baseServices, baseUpstreams}, {baseHosts, baseServices, baseUpstreams},
		{8, baseServices, baseUpstreams}, {16, baseServices, baseUpstreams},
		{regionHosts, baseServices, baseUpstreams}}, func(s size) int { return s.hosts }},
	{"upstream", []size{{baseHosts, baseServices, baseUpstreams}, {baseHosts, baseServices, 128}},
		func(s size) int { return s.upstreams }},
	{"service", []size{{baseHosts, baseServices, baseUpstreams}, {baseHosts, 8, baseUpstreams}},
		func(s size) int { return s.services }},
	{"region", []size{{regionHosts, regionServices, regionUpstreams}}, nil},
}

// idleUse is what one host uses on average.
type idleUse struct {
	corePercent float64
	bytes       float64 // a second
	residentMB  float64
	platform    float64 // calls to the platform a second, over all hosts
}

// idle measures deployments of several sizes without load, and the slopes.
func (b *Benchmark) idle(ctx context.Context) (figures []metric.Metric, err error) {
	seen := map[size]idleUse{}
	for _, a := range axes {
		for _, s := range a.sizes {
			if _, ok := seen[s]; ok {
				continue
			}
			use, err := b.idleAt(ctx, s)
			if err != nil {
				return nil, err
			}
			seen[s] = use
			figures = append(figures, use.figures(s)...)
		}
		if a.x != nil {
			figures = append(figures, slopes(a, seen)...)
		}
	}
	return figures, nil
}

func (u idleUse) figures(s size) []metric.Metric {
	at := fmt.Sprintf("_hosts_%d_services_%d_upstreams_%d", s.hosts, s.services, s.upstreams)
	return []metric.Metric{
		{Name: "idle_core_percent" + at, Value: round(u.corePercent)},
		{Name: "idle_bytes_per_second" + at, Value: round(u.bytes)},
		{Name: "idle_resident_mb" + at, Value: round(u.residentMB)},
		{Name: "idle_platform_calls_per_second" + at, Value: round(u.platform)},
	}
}

func slopes(a axis, seen map[size]idleUse) []metric.Metric {
	var core, bytes, resident []metric.Point
	for _, s := range a.sizes {
		x, u := float64(a.x(s)), seen[s]
		core = append(core, metric.Point{X: x, Y: u.corePercent})
		bytes = append(bytes, metric.Point{X: x, Y: u.bytes})
		resident = append(resident, metric.Point{X: x, Y: u.residentMB})
	}
	named := func(name string, points []metric.Point) metric.Metric {
		slope, _ := metric.LinearFit(points)
		return metric.Metric{Name: "idle_" + name + "_slope_per_" + a.name, Value: round(slope)}
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

func (b *Benchmark) idleAt(ctx context.Context, s size) (use idleUse, err error) {
	b.say("idle: %d hosts, %d services, %d upstreams", s.hosts, s.services, s.upstreams)
	err = b.deploy(ctx, s.hosts, idleServices(s), func(d *launch.Deployment) error {
		if !launch.Sleep(ctx, idleSettle) {
			return ctx.Err()
		}
		use, err = measureIdle(ctx, d)
		return err
	})
	return use, err
}

func measureIdle(ctx context.Context, d *launch.Deployment) (use idleUse, err error) {
	before, calls, err := snapshot(d)
	if err != nil {
		return use, err
	}
	start := time.Now()
	if !launch.Sleep(ctx, idleFor) {
		return use, ctx.Err()
	}
	after, callsAfter, err := snapshot(d)
	if err != nil {
		return use, err
	}
	seconds := time.Since(start).Seconds()
	n := float64(len(after))
	for i := range after {
		used := after[i].Sub(before[i])
		use.corePercent += 100 * used.CPU.Seconds() / seconds / n
		use.bytes += float64(used.IOBytes) / seconds / n
		use.residentMB += float64(used.ResidentBytes) / (1 << 20) / n
	}
	use.platform = (callsAfter - calls) / seconds
	return use, nil
}

// snapshot reads the usage of every host and the calls that the platform got.
func snapshot(d *launch.Deployment) (usage []launch.Usage, calls float64, err error) {
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

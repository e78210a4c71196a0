// Package benchmark measures hosts as real processes: the latency that a host adds
// to a request, its throughput per core, and its resource usage when idle.
package benchmark

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/pkg/errors"

	"siskinpath/standin/launch"
	"siskinpath/standin/metric"
)

// runTimeout limits a whole run.
const runTimeout = 130 * time.Second

// serveTimeout is the time within which a deployment must be ready.
const serveTimeout = 20 * time.Second

// Benchmark is one run of the measurements. The fields must be set before Run.
type Benchmark struct {
	BinDir string
	Parts  []string // parts to run: added, capacity, idle; empty means all
	Out    io.Writer
	Log    io.Writer
}

// part is one measurement.
type part struct {
	name string
	run  func(*Benchmark, context.Context) ([]metric.Metric, error)
}

var parts = []part{
	{"added", (*Benchmark).addedLatency},
	{"capacity", (*Benchmark).capacity},
	{"idle", (*Benchmark).idle},
}

// Run runs the selected parts and prints the metrics of each as soon as it is done.
func (b *Benchmark) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	ran := 0
	for _, p := range parts {
		if !b.selected(p.name) {
			continue
		}
		ran++
		metrics, err := p.run(b, ctx)
		if err != nil {
			return errors.WithMessagef(err, "bench %s", p.name)
		}
		metric.Write(b.Out, metrics)
	}
	if ran == 0 {
		return errors.New("bench: unknown part; want added, capacity or idle")
	}
	return nil
}

func (b *Benchmark) selected(name string) bool {
	for _, o := range b.Parts {
		if o == name {
			return true
		}
	}
	return len(b.Parts) == 0
}

func (b *Benchmark) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.Log, format+"\n", args...)
}

// deploy starts a deployment, passes it to use once it is ready, and kills it.
func (b *Benchmark) deploy(ctx context.Context, hosts int, services []launch.Service, use func(*launch.Deployment) error) (err error) {
	dir, err := launch.MakeTempDir()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &launch.Deployment{
		BinDir:            b.BinDir,
		RunDir:            dir,
		AvailabilityZones: launch.GhanaZones(),
		Hosts:             hosts,
		Services:          services,
	}
	defer d.Kill()
	if err := d.Start(); err != nil {
		return err
	}
	if err := d.WaitReady(ctx, serveTimeout); err != nil {
		return err
	}
	return use(d)
}

// round rounds x to three decimal places.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

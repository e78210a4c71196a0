// Package benchmark measures real processes: the time that a host adds to a
// request, the requests it carries per core, and what it uses when idle.
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

// limit bounds the whole run.
const limit = 130 * time.Second

// serveTimeout bounds the start of one deployment.
const serveTimeout = 20 * time.Second

// Benchmark is one run of the measurements. Fields are set before Run.
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
	{"added", (*Benchmark).added},
	{"capacity", (*Benchmark).capacity},
	{"idle", (*Benchmark).idle},
}

// Run measures and prints the figures of each part as soon as they are there.
func (b *Benchmark) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ran := 0
	for _, p := range parts {
		if !b.wanted(p.name) {
			continue
		}
		ran++
		figures, err := p.run(b, ctx)
		if err != nil {
			return errors.WithMessagef(err, "bench %s", p.name)
		}
		metric.Write(b.Out, figures)
	}
	if ran == 0 {
		return errors.New("bench: no such part; there are added, capacity and idle")
	}
	return nil
}

func (b *Benchmark) wanted(name string) bool {
	for _, o := range b.Parts {
		if o == name {
			return true
		}
	}
	return len(b.Parts) == 0
}

func (b *Benchmark) say(format string, args ...any) {
	_, _ = fmt.Fprintf(b.Log, format+"\n", args...)
}

// deploy starts a deployment, hands it to use once it serves, and ends it.
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

// round keeps three digits after the point.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

package faultinjection

import (
	"context"
	"sync"
	"time"

	"siskinpath/standin/launch"
)

// pollInterval is the time between two polls of a host.
const pollInterval = 100 * time.Millisecond

// versionWatcher polls the table version in force on each host and counts how
// often one decreases. A host that has no version in force yet is skipped.
type versionWatcher struct {
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	mu        sync.Mutex
	highest   map[string]uint64
	decreases int
}

func (w *versionWatcher) run(ctx context.Context, d *launch.Deployment) {
	ctx, w.cancel = context.WithCancel(ctx)
	w.highest = map[string]uint64{}
	for _, h := range d.EntryHosts {
		w.poll(ctx, h)
	}
}

// poll reads the version of h until ctx ends.
func (w *versionWatcher) poll(ctx context.Context, h *launch.EntryHost) {
	w.wg.Go(func() {
		for launch.Sleep(ctx, pollInterval) {
			if v, err := h.TableVersion(); err == nil && v > 0 {
				w.observe(h.ID, v)
			}
		}
	})
}

func (w *versionWatcher) observe(id string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.highest[id] {
		w.decreases++
	}
	w.highest[id] = max(w.highest[id], version)
}

// stop ends the polling and returns how often a version decreased.
func (w *versionWatcher) stop() int {
	if w.cancel != nil {
		w.cancel()
	}
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.decreases
}

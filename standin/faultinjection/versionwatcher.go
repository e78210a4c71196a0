package faultinjection

import (
	"context"
	"sync"
	"time"

	"siskinpath/standin/launch"
)

// watchStep is the time between two looks at the hosts.
const watchStep = 100 * time.Millisecond

// watcher looks at the table version in force on each host and counts how often
// one falls. A host that has none yet is passed over.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	newest map[string]uint64
	back   int
}

func (w *watcher) run(ctx context.Context, d *launch.Deployment) {
	ctx, w.cancel = context.WithCancel(ctx)
	w.newest = map[string]uint64{}
	for _, h := range d.EntryHosts {
		w.follow(ctx, h)
	}
}

// follow looks at h until the watcher stops.
func (w *watcher) follow(ctx context.Context, h *launch.EntryHost) {
	w.wg.Go(func() {
		for launch.Sleep(ctx, watchStep) {
			if v, err := h.TableVersion(); err == nil && v > 0 {
				w.see(h.ID, v)
			}
		}
	})
}

func (w *watcher) see(id string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.newest[id] {
		w.back++
	}
	w.newest[id] = max(w.newest[id], version)
}

// stop ends the looking and returns how often a version fell.
func (w *watcher) stop() int {
	if w.cancel != nil {
		w.cancel()
	}
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.back
}

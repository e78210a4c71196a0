package entry

import (
	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/discovery"
	"siskinpath/siskinpathd/watch"
)

const (
	// configBatch is how long changes of the configuration gather. It has to be in
	// force two seconds after it was accepted.
	configBatch = 1000 * clock.Millisecond
	// discoveryBatch is the same for upstreams: one that leaves gets nothing new
	// two seconds after it said so.
	discoveryBatch = 1000 * clock.Millisecond
	// feedWait is how long the store holds an answer back while nothing changes. A
	// store that falls silent is noticed when it has passed.
	feedWait = 4 * clock.Second
	// storeRetry and storeMostRetry bound the pause between calls that fail.
	storeRetry     = 100 * clock.Millisecond
	storeMostRetry = clock.Second
)

func (n *Node) watchConfig() *watch.Watcher[*config.Config] {
	return &watch.Watcher[*config.Config]{
		Name: "configuration", Source: n.Config, Clock: n.Clock, Log: n.Log,
		Batch: configBatch, Wait: feedWait, Retry: storeRetry, MostRetry: storeMostRetry,
		Apply: n.applyConfig,
	}
}

func (n *Node) watchDiscovery() *watch.Watcher[*discovery.Upstream] {
	return &watch.Watcher[*discovery.Upstream]{
		Name: "upstreams", Source: n.Discovery, Clock: n.Clock, Log: n.Log,
		Batch: discoveryBatch, Wait: feedWait, Retry: storeRetry, MostRetry: storeMostRetry,
		Apply: n.applyDiscovery,
		Lost:  func(error) { n.storeLost() },
	}
}

func (n *Node) storeLost() {
	n.mu.Lock()
	n.registry.Outage(n.Clock.Now())
	n.mu.Unlock()
}

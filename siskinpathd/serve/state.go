package serve

import (
	"runtime"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/membership"
	"siskinpath/core/route"
)

// State is the state of the process, as operators read it.
type State struct {
	Host         membership.Host        `json:"host"`
	NowMs        clock.Millis           `json:"now_ms"` // on the monotonic clock of this process
	TableVersion uint64                 `json:"table_version"`
	Healthy      bool                   `json:"healthy"`
	Unhealthy    string                 `json:"unhealthy,omitempty"` // reason why Healthy is false
	InFlight     int64                  `json:"in_flight"`
	Goroutines   int                    `json:"goroutines"`
	Fleet        any                    `json:"fleet"`
	Once         idempotency.State      `json:"once"`
	Services     map[string]route.State `json:"services"`
}

func (n *Node) state() any {
	s := State{
		Host:       n.Self,
		NowMs:      n.Clock.Now(),
		Healthy:    true,
		InFlight:   n.Chain.Admission.InFlight(),
		Goroutines: runtime.NumGoroutine(),
		Fleet:      n.Fleet.State(),
		Services:   n.Services.States(),
	}
	if err := n.checkHealth(); err != nil {
		s.Healthy, s.Unhealthy = false, err.Error()
	}
	if t := n.Fleet.Table(); t != nil {
		s.TableVersion = t.Version
	}
	n.Keeper.WithLock(func(_ clock.Millis, k *idempotency.KeyRegistry) { s.Once = k.State() })
	return s
}

// hostsReply lists the status of every host as this host knows it.
type hostsReply struct {
	Hosts []membership.HostStatus `json:"hosts"`
}

func (n *Node) hosts() any { return hostsReply{Hosts: n.Fleet.Status()} }

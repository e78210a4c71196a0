package entry

import (
	"encoding/json"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/roster"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/tcp"
)

// maxOperatorBodyBytes is the largest body of a request to the operators' port, where none is
// used.
const maxOperatorBodyBytes = 1024

// stateDump is the state of this process as shown to operators.
type stateDump struct {
	ID            string                       `json:"id"`
	Incarnation   uint64                       `json:"incarnation"`
	ConfigVersion int64                        `json:"configuration_version"`
	Upstreams     int                          `json:"upstreams"`
	Hosts         int                          `json:"hosts"`
	FollowsStore  bool                         `json:"follows_store"`
	Leaving       bool                         `json:"leaving"`
	NotReady      string                       `json:"not_ready,omitempty"`
	Services      map[string]place.Report      `json:"services"`
	Quarantine    []quarantine.Report          `json:"quarantine,omitempty"`
	Quotas        *quotaReport                 `json:"quotas,omitempty"`
	Registry      roster.Report                `json:"registry"`
	Evacuated     []string                     `json:"evacuated_zones,omitempty"`
	Tables        map[string]relay.TableReport `json:"tables"`
}

// runOperatorServer serves metrics and the state dump if the settings hold an address
// for them.
func (n *Node) runOperatorServer() (err error) {
	address := n.cfg().Listen.Metrics
	if address == "" {
		return nil
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithMessagef(err, "listen.metrics %s", address)
	}
	r := router.New()
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) { metrics.WritePrometheus(ctx, true) })
	r.GET("/v1/state", n.serveState)
	s := &fasthttp.Server{
		Handler: r.Handler, NoDefaultServerHeader: true, IdleTimeout: time.Minute, WriteTimeout: writeTimeout.Duration(),
		GetOnly: true, MaxRequestBodySize: maxOperatorBodyBytes, Logger: logs.ConnectionLogger{Log: n.Log, Address: address},
	}
	limited := &tcp.Listener{Listener: ln, Limit: n.cfg().OperatorConnections(), Clock: n.Clock, Log: n.Log}
	go func() {
		if err := s.Serve(limited); err != nil {
			n.Log.Error("operators' listener failed", "address", address, "err", err)
		}
	}()
	return nil
}

func (n *Node) serveState(ctx *fasthttp.RequestCtx) {
	s := stateDump{
		ID: n.cfg().ID, Incarnation: n.relay.Self.Incarnation, Hosts: n.relay.Size(), FollowsStore: n.relay.ShouldFollowStore(),
		Leaving: n.drainStart.Load() != 0, Services: map[string]place.Report{},
		Quarantine: n.crashes.report(), Quotas: n.quotas.report(), Registry: n.hosts.report(), Tables: n.relay.Report(),
	}
	if cfg := n.config.Load(); cfg != nil {
		s.ConfigVersion = cfg.Version
	}
	if err := n.Ready(); err != nil {
		s.NotReady = err.Error()
	}
	n.mu.Lock()
	s.Upstreams = n.registry.Len()
	s.Evacuated = n.evacuatedZoneNames()
	for name, d := range n.dispatchers {
		s.Services[name] = d.report()
	}
	n.mu.Unlock()
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (d *Dispatcher) report() place.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Report(d.Clock.Now())
}

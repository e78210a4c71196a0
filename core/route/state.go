package route

import "siskinpath/core/clock"

// State is the state of a shard, for the state dump.
type State struct {
	Upstreams []UpstreamState `json:"upstreams"` // sorted by name
	Owners    []OwnerState    `json:"owners"`    // sorted by host
	Queued    int             `json:"queued"`
	InFlight  int             `json:"in_flight"`
	Requests  int             `json:"requests"` // without a final action so far
	MeanMs    float64         `json:"mean_ms"`  // mean latency of the service's recent successes
	P50Ms     float64         `json:"p50_ms"`
	P90Ms     float64         `json:"p90_ms"`
	P95Ms     float64         `json:"p95_ms"`
	Counters  Counters        `json:"counters"`
}

// UpstreamState is the state of one upstream as known to this host.
type UpstreamState struct {
	Name         string       `json:"name"`
	InFlight     int          `json:"in_flight"`
	Share        int          `json:"share"`
	Limit        int          `json:"limit"` // part of the share that its congestion window allows
	Weight       int          `json:"weight"`
	Leaving      bool         `json:"leaving"`
	Present      bool         `json:"present"`
	Standing     string       `json:"standing"` // good, last_used or ejected
	Ejected      bool         `json:"ejected"`
	Until        clock.Millis `json:"until"` // when an ejection or demotion is over, 0 for no set time
	Score        float64      `json:"score"` // the upstream with the lowest is used first
	LatencyMs    float64      `json:"latency_ms"`
	SuccessShare float64      `json:"success_share"`
	OldestSince  clock.Millis `json:"oldest_since"` // start of the oldest request in flight, 0 for none
}

// OwnerState is the state of another owner as known to this host.
type OwnerState struct {
	Host   string       `json:"host"`
	Free   int          `json:"free"` // estimated
	Queued int          `json:"queued"`
	Slots  int          `json:"slots"`
	At     clock.Millis `json:"at"` // time of the newest digest, 0 for none
}

// Counters count events since the shard was created.
type Counters struct {
	Arrived           uint64 `json:"arrived"`
	Sent              uint64 `json:"sent"` // attempts
	Finished          uint64 `json:"finished"`
	AnsweredElsewhere uint64 `json:"answered_elsewhere"`
	Unknown           uint64 `json:"unknown"`
	Withdrawn         uint64 `json:"withdrawn"`
	Queued            uint64 `json:"queued"`
	Retried           uint64 `json:"retried"`
	Hedged            uint64 `json:"hedged"`
	Forwarded         uint64 `json:"forwarded"`
	Spilled           uint64 `json:"spilled"`
	Pulled            uint64 `json:"pulled"`
	Ejected           uint64 `json:"ejected"`
	Probes            uint64 `json:"probes"` // requested; the driver may not have carried them out
	Digests           uint64 `json:"digests"`
	RefusedOverloaded uint64 `json:"refused_overloaded"`
	RefusedDeadline   uint64 `json:"refused_deadline"`
	RefusedNoUpstream uint64 `json:"refused_no_upstream"`
	RefusedRate       uint64 `json:"refused_rate"`
	RefusedUpstream   uint64 `json:"refused_upstream"`
}

func (c *Counters) countRefusal(reason Reason) {
	switch reason {
	case ReasonOverloaded:
		c.RefusedOverloaded++
	case ReasonDeadline:
		c.RefusedDeadline++
	case ReasonNoUpstream:
		c.RefusedNoUpstream++
	case ReasonRateLimited:
		c.RefusedRate++
	case ReasonUpstreamRefused:
		c.RefusedUpstream++
	}
}

// State returns a copy of the shard's state.
func (s *Shard) State() State {
	st := State{
		Upstreams: make([]UpstreamState, 0, len(s.upstreams)),
		Owners:    make([]OwnerState, 0, len(s.owners)),
		Queued:    s.queue.len(),
		InFlight:  len(s.attempts),
		Requests:  len(s.requests),
		MeanMs:    s.latencies.mean,
		P50Ms:     s.latencies.p50,
		P90Ms:     s.latencies.p90,
		P95Ms:     s.latencies.p95,
		Counters:  s.counters,
	}
	for _, u := range s.upstreams {
		st.Upstreams = append(st.Upstreams, s.upstreamState(u))
	}
	for _, o := range s.owners {
		st.Owners = append(st.Owners, OwnerState{
			Host: o.digest.Host, Free: o.free(), Queued: o.digest.Queued, Slots: o.digest.Slots, At: o.digestAt,
		})
	}
	return st
}

func (s *Shard) upstreamState(u *upstream) UpstreamState {
	st := UpstreamState{
		Name:         u.Name,
		InFlight:     u.inFlight,
		Share:        u.Share,
		Limit:        u.limit(&s.Ablation),
		Weight:       u.Weight,
		Leaving:      u.Leaving,
		Present:      u.present,
		Standing:     u.health.String(),
		Ejected:      u.health == ejected,
		Until:        u.healthUntil,
		LatencyMs:    u.latency,
		SuccessShare: u.success,
	}
	if u.acceptsWork() {
		st.Score = u.cost(&s.Ablation)
	}
	if u.oldest != nil {
		st.OldestSince = u.oldest.started
	}
	return st
}

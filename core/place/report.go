package place

import "siskinpath/core/clock"

// Report is a snapshot of a Placer's state for operators.
type Report struct {
	Requests     int              `json:"requests"` // without a final answer
	Queued       int              `json:"queued"`
	RepeatBudget float64          `json:"repeats_kept"` // retries and hedges left in the budget
	Slowdown     float64          `json:"slowdown"`     // mean of the upstreams' reports
	Upstreams    []UpstreamReport `json:"upstreams"`
}

// UpstreamReport is a Placer's state of one upstream. Times are in milliseconds.
type UpstreamReport struct {
	ID         string       `json:"id"`
	InFlight   int          `json:"in_flight"` // requests of this host
	Load       int          `json:"load"`      // requests of all hosts, as estimated
	Slots      int          `json:"slots"`
	Reported   bool         `json:"reported"`
	AgeMs      clock.Millis `json:"age_ms"`
	Slowdown   float64      `json:"slowdown"`
	Success    float64      `json:"success"`
	Leaving    bool         `json:"leaving"`
	OutForMs   clock.Millis `json:"out_for_ms"` // time left until it is used again
	Unanswered bool         `json:"unanswered"` // a probe has timed out without an answer
	// ColdForMs is the time left until it has warmed up, and ColdPerSecond this host's share
	// of what it takes until then; 0 also if there is no limit.
	ColdForMs     clock.Millis `json:"cold_for_ms,omitempty"`
	ColdPerSecond float64      `json:"cold_per_second,omitempty"`
}

// Report returns a snapshot of the Placer's state.
func (p *Placer) Report(now clock.Millis) Report {
	r := Report{Requests: len(p.requests), Queued: len(p.queue), RepeatBudget: p.repeatBudget.Balance(), Slowdown: p.meanSlowdown}
	for _, u := range p.upstreams {
		r.Upstreams = append(r.Upstreams, UpstreamReport{
			ID: u.ID, InFlight: u.inFlight, Load: p.load(now, u), Slots: u.Slots, Reported: u.reporting, AgeMs: now - u.loadAt,
			Slowdown: u.slowdownAt(now, p.meanSlowdown), Success: u.successAt(now), Leaving: u.Leaving,
			OutForMs: max(0, u.suspendedUntil-now), Unanswered: u.silent(now),
			ColdForMs: max(0, u.warmUp.until-now), ColdPerSecond: u.ColdPerSecond,
		})
	}
	return r
}

package loadsim

import "siskinpath/core/clock"

const (
	// connectTimeout is how long a caller waits for a connection to a host.
	connectTimeout = clock.Second
	// configureTime is how long a host needs from its start until it knows its upstreams.
	configureTime = 200 * clock.Millisecond
	// abandonShare is the share of its remaining time for which a caller waits for a host
	// that does not answer, at most connectTimeout.
	abandonShare = 1.0 / 3
)

// LosePower takes the power from all hosts after a time, for span. They forget everything.
// Upstreams go on, and so do the requests that they run.
func (sim *Simulation) LosePower(after, span clock.Millis) {
	sim.After(after, func() {
		sim.dark = true
		for _, r := range sim.Requests {
			if r.host != nil && !r.Completed {
				sim.loseRequest(r)
			}
		}
	})
	sim.After(after+span+configureTime, func() {
		sim.dark = false
		for h := range sim.hosts {
			sim.startHost(h, uint64(len(sim.hosts)+h))
		}
	})
}

// runs reports whether h still runs as it was started when it was at.
func (sim *Simulation) runs(h int, at *host) bool { return !sim.dark && sim.hosts[h] == at }

// loseRequest handles a request whose host has lost power. Its caller sends it again if it
// may run twice.
func (sim *Simulation) loseRequest(r *Request) {
	r.host = nil
	if !r.in.Idempotent || r.retries >= max(1, sim.cfg.Retries) {
		sim.After(r.GiveUp-sim.now, func() { sim.fail(r) })
		return
	}
	r.retries++
	wait := min(connectTimeout, clock.Millis(abandonShare*float64(r.GiveUp-sim.now)))
	sim.After(wait, func() { sim.offer(r) })
}

// connectLater handles a caller that reaches no host.
func (sim *Simulation) connectLater(r *Request) {
	wait := min(connectTimeout, r.GiveUp-sim.now)
	if r.retries >= max(1, sim.cfg.Retries) || sim.now+wait >= r.GiveUp {
		sim.After(r.GiveUp-sim.now, func() { sim.fail(r) })
		return
	}
	r.retries++
	sim.After(wait, func() { sim.offer(r) })
}

// fail ends a request without an answer.
func (sim *Simulation) fail(r *Request) {
	sim.Outcomes.Failed[r.in.Priority]++
	r.count(func(c *Counts) { c.Failed++ })
	r.Completed = true
}

package sim

// scheduleFaults schedules the start and end of the scenario's faults.
func (sim *simulation) scheduleFaults() {
	for _, f := range sim.sc.Faults {
		sim.at(warmUp+f.From, func() { sim.startFault(f) })
		if f.Until > 0 {
			sim.at(warmUp+f.Until, func() { sim.endFault(f) })
		}
	}
}

// startFault applies a fault to the first f.Count upstreams, to an availability
// zone or to the load, depending on its kind.
func (sim *simulation) startFault(f Fault) {
	for i, u := range sim.upstreams {
		if f.Kind == ZoneLost || i >= f.Count {
			break
		}
		sim.startUpstreamFault(f, u)
	}
	switch f.Kind {
	case ZoneLost:
		sim.loseZone(f.Count)
	case LoadDoubled:
		sim.loadFactor = 2
	}
}

func (sim *simulation) startUpstreamFault(f Fault, u *upstream) {
	switch f.Kind {
	case FailFast:
		u.failing = true
	case Drain:
		u.draining = true
	case FalseDrain:
		u.falseDrain = true
	case Silent:
		u.silent = true
	case ColdStart:
		u.coldStart = true
		u.updateSharedSpeed()
	case SlowDown:
		u.setSlowdown(f.Slowdown)
	}
}

// endFault reverts a fault. A lost availability zone does not come back.
func (sim *simulation) endFault(f Fault) {
	if f.Kind == LoadDoubled {
		sim.loadFactor = 1
		return
	}
	for i, u := range sim.upstreams {
		if i >= f.Count {
			break
		}
		u.failing = false
		u.draining = false
		u.falseDrain = false
		u.silent = false
		if f.Slowdown > 0 || u.coldStart {
			u.coldStart = false
			u.setSlowdown(1)
		}
	}
}

// loseZone takes down the hosts and upstreams of an availability zone. After
// reassignmentDelay, the time in which the rest of the fleet agrees on new owners,
// all upstreams are assigned anew to the remaining hosts.
func (sim *simulation) loseZone(zone int) {
	const reassignmentDelay = 3 * Second
	for _, u := range sim.upstreams {
		if u.zone == zone {
			u.crash()
		}
	}
	for i, h := range sim.hosts {
		if sim.zoneOfHost(i) != zone {
			continue
		}
		sim.hostLost[i] = true
		if s, ok := h.(*shardHost); ok {
			s.down = true
		}
	}
	if sim.sc.Policy.Baseline == nil {
		sim.after(reassignmentDelay, sim.assign)
	}
}

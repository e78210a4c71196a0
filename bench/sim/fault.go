package sim

// scheduleFaults schedules the start and end of the scenario's faults.
func (w *simulation) scheduleFaults() {
	for _, f := range w.sc.Faults {
		w.at(warmUp+f.From, func() { w.startFault(f) })
		if f.Until > 0 {
			w.at(warmUp+f.Until, func() { w.endFault(f) })
		}
	}
}

// startFault applies a fault to the first f.Count upstreams, to an availability
// zone or to the load, depending on its kind.
func (w *simulation) startFault(f Fault) {
	for i, u := range w.upstreams {
		if f.Kind == ZoneLost || i >= f.Count {
			break
		}
		w.startUpstreamFault(f, u)
	}
	switch f.Kind {
	case ZoneLost:
		w.loseZone(f.Count)
	case LoadDoubled:
		w.loadFactor = 2
	}
}

func (w *simulation) startUpstreamFault(f Fault, u *upstream) {
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
func (w *simulation) endFault(f Fault) {
	if f.Kind == LoadDoubled {
		w.loadFactor = 1
		return
	}
	for i, u := range w.upstreams {
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

// loseZone removes the hosts and upstreams of an availability zone. Their
// upstreams are reassigned to the remaining hosts after reassignmentDelay.
func (w *simulation) loseZone(zone int) {
	const reassignmentDelay = 3 * Second
	for _, u := range w.upstreams {
		if u.zone == zone {
			u.crash()
		}
	}
	for i, h := range w.hosts {
		if w.zoneOfHost(i) != zone {
			continue
		}
		w.hostLost[i] = true
		if s, ok := h.(*shardHost); ok {
			s.down = true
		}
	}
	if w.sc.Policy.Baseline == nil {
		w.after(reassignmentDelay, w.assign)
	}
}

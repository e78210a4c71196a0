package sim

// planFaults schedules the scenario's faults.
func (w *world) planFaults() {
	for _, f := range w.sc.Faults {
		w.at(warmUp+f.From, func() { w.begin(f) })
		if f.Until > 0 {
			w.at(warmUp+f.Until, func() { w.endFault(f) })
		}
	}
}

func (w *world) begin(f Fault) {
	for i, u := range w.upstreams {
		if f.Kind == ZoneLost || i >= f.Count {
			break
		}
		w.beginAt(f, u)
	}
	switch f.Kind {
	case ZoneLost:
		w.loseZone(f.Count)
	case LoadDoubled:
		w.load = 2
	}
}

func (w *world) beginAt(f Fault, u *upstream) {
	switch f.Kind {
	case FailFast:
		u.failing = true
	case Drain:
		u.draining = true
	case FalseDrain:
		u.lies = true
	case Silent:
		u.silent = true
	case ColdStart:
		u.cold = true
		u.share()
	case SlowDown:
		u.setSlow(f.Slowdown)
	}
}

func (w *world) endFault(f Fault) {
	if f.Kind == LoadDoubled {
		w.load = 1
		return
	}
	for i, u := range w.upstreams {
		if i >= f.Count {
			break
		}
		u.failing = false
		u.draining = false
		u.lies = false
		u.silent = false
		if f.Slowdown > 0 || u.cold {
			u.cold = false
			u.setSlow(1)
		}
	}
}

// loseZone takes away the hosts and upstreams of an availability zone. The rest
// of the fleet agrees on new owners some time later.
func (w *world) loseZone(zone int) {
	const agreed = 3 * Second
	for _, u := range w.upstreams {
		if u.zone == zone {
			u.stop()
		}
	}
	for i, h := range w.hosts {
		if w.zoneOfHost(i) != zone {
			continue
		}
		w.lost[i] = true
		if s, ok := h.(*shardHost); ok {
			s.down = true
		}
	}
	if w.sc.Policy.Baseline == nil {
		w.after(agreed, w.assign)
	}
}

package relay

import (
	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/relay/relaypb"
)

// eraStart is the latest time at which the store can have come back from an older copy for
// the last time.
type eraStart struct {
	era    int64 // 0 if it never did
	latest clock.Millis
}

// HandleNewEra records that this host has read the content with which the store has come
// back from an older copy.
func (r *Relay) HandleNewEra(era int64) {
	r.restored.Store(true)
	r.recordEra(era, 0)
}

// recordEra records that an era is at least of an age. A host that was cut off learns from
// others how long they have known it.
func (r *Relay) recordEra(era int64, age clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.Clock.Now() - age
	if era > r.eraStart.era || era == r.eraStart.era && latest < r.eraStart.latest {
		r.eraStart = eraStart{era: era, latest: latest}
	}
}

// RecordEra records that this host has read content of an era.
func (r *Relay) RecordEra(era int64) { r.recordEra(era, 0) }

// EraAge returns how long the store has not come back from an older copy, at least;
// overlay.UnknownAge if it never did.
func (r *Relay) EraAge() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraStart.era == 0 {
		return overlay.UnknownAge
	}
	return r.Clock.Now() - r.eraStart.latest
}

// TimeInEra returns how long after the beginning of an era the store had the content of a
// table that this host knows, at least. It is not above 0 if that is not known.
func (r *Relay) TimeInEra(table string, era int64) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era == 0 || r.eraStart.era != era {
		return 0
	}
	return r.Clock.Now() - r.eraStart.latest - r.overlay.ProvenAge(r.Boot.Now(), table)
}

// currentEra returns the era for a message, nil for the first.
func (r *Relay) currentEra() *relaypb.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraStart.era == 0 {
		return nil
	}
	return &relaypb.Era{Era: r.eraStart.era, AgeMs: uint32(max(0, r.Clock.Now()-r.eraStart.latest))}
}

// handleEra handles the era in a message of another host.
func (r *Relay) handleEra(e *relaypb.Era) {
	if e != nil {
		r.recordEra(e.GetEra(), clock.Millis(e.GetAgeMs()))
	}
}

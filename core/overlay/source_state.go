package overlay

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
)

// SourceState describes a source for logs.
type SourceState struct {
	Host      string       `json:"host"`
	Silent    clock.Millis `json:"silent_ms"` // since its last message; -1 before the first
	StoreLost bool         `json:"store_lost"`
}

// SourceStates describes the sources that this host has a session with, by id.
func (o *Overlay) SourceStates(now clock.Millis) []SourceState {
	states := []SourceState{}
	for id, s := range o.sessions {
		silent := clock.Millis(-1)
		if s.lastMessageAt > 0 {
			silent = now - s.lastMessageAt
		}
		states = append(states, SourceState{Host: id, Silent: silent, StoreLost: s.storeLost})
	}
	slices.SortFunc(states, func(a, b SourceState) int { return cmp.Compare(a.Host, b.Host) })
	return states
}

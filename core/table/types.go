// Package table holds the operators' table: its rows, its text form, the checks
// it must pass, and the rules by which edits merge.
package table

import "siskinpath/core/clock"

// ServiceRow is the value of the upstream column in a row that sets the limits
// of a whole service.
const ServiceRow = "*"

// State is what operators ask of an upstream.
type State string

// States of an upstream.
const (
	Active  State = "active"  // takes new work
	Leaving State = "leaving" // takes no new work, finishes what it has
)

// Upstream is one row: an upstream of a service, its weight and its limits.
type Upstream struct {
	Service          string
	Name             string
	Address          string // IP and port
	AvailabilityZone string
	Weight           int // share of work relative to the other upstreams of the service, 0 to 1000
	Slots            int // requests in flight over the whole fleet
	Connections      int // connections over the whole fleet
	RatePerSecond    int // requests started a second over the whole fleet; 0 means no limit
	State            State
}

// Service is a service, its limits and its upstreams.
type Service struct {
	Name            string
	ProbesPerSecond float64      // budget for measuring, over the whole fleet
	RatePerSecond   int          // requests accepted a second over the whole fleet; 0 means no limit
	HedgePercent    float64      // hedges allowed, in percent of requests; 0 turns hedging off
	MaxDeadline     clock.Millis // longest deadline a caller may ask for
	Upstreams       []Upstream   // sorted by name
}

// Table is one version of the operators' table.
type Table struct {
	Version  uint64    // version of the row in the platform's table service; only ever rises
	Services []Service // sorted by name
}

// Service returns the service named name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Package table implements the routing table that operators edit: its rows, CSV
// form, validation, and three-way merge, how an edit is committed to the platform,
// and how a host decides which version of the table to use.
package table

import "siskinpath/core/clock"

// ServiceRow is the value of the upstream column in a row that sets the limits
// of a whole service.
const ServiceRow = "*"

// State is the state of an upstream that operators set.
type State string

// States of an upstream.
const (
	Active  State = "active"  // receives new requests
	Leaving State = "leaving" // receives no new requests and finishes those in flight
)

// Upstream is a row of the table that describes an upstream of a service.
type Upstream struct {
	Service          string
	Name             string
	Address          string // IP and port
	AvailabilityZone string
	Weight           int // share of requests relative to the other upstreams of the service, 0 to MaxWeight
	Slots            int // limit on requests in flight over the whole fleet
	Connections      int // limit on connections over the whole fleet
	RatePerSecond    int // limit on requests started per second over the whole fleet; 0 means no limit
	State            State
}

// Service is a service with its limits and its upstreams.
type Service struct {
	Name            string
	ProbesPerSecond float64      // probe budget of the whole fleet
	RatePerSecond   int          // limit on requests accepted per second over the whole fleet; 0 means no limit
	HedgePercent    float64      // hedged requests allowed, in percent of all requests; 0 disables hedging
	MaxDeadline     clock.Millis // longest deadline that a caller may request
	Upstreams       []Upstream   // sorted by name
}

// Table is one version of the operators' table.
type Table struct {
	Version  uint64    // version of the row in the platform's table service; it never decreases
	Services []Service // sorted by name
}

// Service returns the named service, or nil when the table doesn't have it.
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

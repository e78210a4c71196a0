package launch

import (
	"encoding/csv"
	"fmt"
	"strconv"
	"strings"
)

// UpstreamRow is a table row for an upstream.
type UpstreamRow struct {
	Service          string
	Name             string
	Address          string
	AvailabilityZone string
	Weight           int
	Slots            int
	Connections      int
	Leaving          bool
}

// Table holds the rows of the operators' table that this package writes.
type Table struct {
	Services  []Service
	Upstreams []UpstreamRow
}

var tableHeader = []string{
	"service", "upstream", "address", "availability_zone", "weight", "slots", "connections",
	"rate_per_second", "state", "probes_per_second", "hedge_percent", "max_deadline_ms",
}

// CSV returns the table in CSV form, with a header line.
func (t Table) CSV() string {
	var b strings.Builder
	w := csv.NewWriter(&b)
	_ = w.Write(tableHeader)
	for _, s := range t.Services {
		_ = w.Write([]string{
			s.Name, "*", "", "", "", "", "", "", "",
			strconv.FormatFloat(s.ProbesPerSecond, 'f', -1, 64),
			strconv.FormatFloat(s.HedgePercent, 'f', -1, 64),
			strconv.Itoa(s.MaxDeadlineMs),
		})
		for _, u := range t.Upstreams {
			if u.Service == s.Name {
				_ = w.Write(u.cells())
			}
		}
	}
	w.Flush()
	return b.String()
}

func (u UpstreamRow) cells() []string {
	state := "active"
	if u.Leaving {
		state = "leaving"
	}
	return []string{
		u.Service, u.Name, u.Address, u.AvailabilityZone, strconv.Itoa(u.Weight), strconv.Itoa(u.Slots),
		strconv.Itoa(u.Connections), "", state, "", "", "",
	}
}

// WithUpstream returns a copy of the table in which edit was applied to the row of
// the upstream called name. It leaves t as it is.
func (t Table) WithUpstream(name string, edit func(*UpstreamRow)) Table {
	changed := t
	changed.Upstreams = append([]UpstreamRow(nil), t.Upstreams...)
	for i := range changed.Upstreams {
		if changed.Upstreams[i].Name == name {
			edit(&changed.Upstreams[i])
		}
	}
	return changed
}

// Service describes a service of a deployment: its limits and its stand-in
// upstreams.
type Service struct {
	Name            string
	Upstreams       int
	Slots           int
	Connections     int
	ServiceMs       float64 // mean run time of a request
	Fixed           bool    // every request runs for the mean time
	ProbesPerSecond float64
	HedgePercent    float64
	MaxDeadlineMs   int
}

// UpstreamName returns the name of the upstream of s with index i, from 0.
func (s Service) UpstreamName(i int) string { return fmt.Sprintf("%s-%02d", s.Name, i+1) }

// Indexes of the table's columns that parseWeights reads.
const (
	upstreamColumn = 1
	weightColumn   = 4
)

// parseWeights returns the weight of each upstream in a table in CSV form.
func parseWeights(text string) (weights map[string]int, err error) {
	records, err := csv.NewReader(strings.NewReader(text)).ReadAll()
	if err != nil {
		return nil, err
	}
	weights = map[string]int{}
	for _, r := range records[min(1, len(records)):] {
		if r[upstreamColumn] == "*" {
			continue
		}
		if weights[r[upstreamColumn]], err = strconv.Atoi(r[weightColumn]); err != nil {
			return nil, err
		}
	}
	return weights, nil
}

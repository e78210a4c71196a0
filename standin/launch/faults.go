package launch

import (
	"github.com/pkg/errors"

	"siskinpath/standin/platform"
	"siskinpath/standin/upstream"
)

// SetPlatformFaults replaces the faults that the platform simulates.
func (d *Deployment) SetPlatformFaults(f platform.Faults) error {
	return Post(d.ControlAddress, "/control/faults", f, nil)
}

// UpstreamChange is a change of an upstream's behaviour. Fields that are nil stay
// as they are; for the units see upstream.Behaviour.
type UpstreamChange struct {
	Slots        *int     `json:"slots,omitempty"`
	SlowFactor   *float64 `json:"slow_factor,omitempty"`
	SlowForMs    *int64   `json:"slow_for_ms,omitempty"`
	ColdMs       *int64   `json:"cold_ms,omitempty"`
	StartingMs   *int64   `json:"starting_ms,omitempty"`
	Draining     *bool    `json:"draining,omitempty"`
	FailFast     *string  `json:"fail_fast,omitempty"`
	LoadLagMs    *int64   `json:"load_lag_ms,omitempty"`
	LoadMisleads *bool    `json:"load_misleads,omitempty"`
	CutAnswers   *float64 `json:"cut_answers,omitempty"`
	Closed       *bool    `json:"closed,omitempty"`
	Watch        *int     `json:"watch,omitempty"`
}

// ChangeUpstream changes the behaviour of the upstream called name, or of all
// upstreams of service when name is upstream.All.
func (d *Deployment) ChangeUpstream(service, name string, change UpstreamChange) error {
	control, ok := d.upstreamControl[service]
	if !ok {
		return errors.Errorf("unknown service %s", service)
	}
	return Post(control, "/control/upstream/"+name, change, nil)
}

// Runs returns the requests that the upstreams of all services ran.
func (d *Deployment) Runs() (runs []upstream.Run, err error) {
	for _, s := range d.Services {
		var reply upstream.Runs
		if err := Get(d.upstreamControl[s.Name], "/control/runs", &reply); err != nil {
			return nil, err
		}
		runs = append(runs, reply.Runs...)
	}
	return runs, nil
}

// Counts returns the counters of the upstreams of service, by name.
func (d *Deployment) Counts(service string) (counts upstream.Counts, err error) {
	err = Get(d.upstreamControl[service], "/control/counts", &counts)
	return counts, err
}

// PlatformCounts returns the platform's counters.
func (d *Deployment) PlatformCounts() (counts platform.Counts, err error) {
	err = Get(d.ControlAddress, "/control/counts", &counts)
	return counts, err
}

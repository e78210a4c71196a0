package launch

import (
	"github.com/pkg/errors"

	"siskinpath/standin/platform"
	"siskinpath/standin/upstream"
)

// SetPlatformFaults sets what is wrong with the platform.
func (d *Deployment) SetPlatformFaults(f platform.Faults) error {
	return Post(d.ControlAddress, "/control/faults", f, nil)
}

// UpstreamChange is what changes in an upstream's behaviour; what is nil stays. See
// upstream.Behaviour for units.
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

// ChangeUpstream changes how the upstream called name behaves; upstream.All stands
// for all of the service.
func (d *Deployment) ChangeUpstream(service, name string, change UpstreamChange) error {
	control, ok := d.upstreamControl[service]
	if !ok {
		return errors.Errorf("no service %s", service)
	}
	return Post(control, "/control/upstream/"+name, change, nil)
}

// Runs reads what every upstream ran.
func (d *Deployment) Runs() (runs []upstream.Run, err error) {
	for _, s := range d.Services {
		var some upstream.Runs
		if err := Get(d.upstreamControl[s.Name], "/control/runs", &some); err != nil {
			return nil, err
		}
		runs = append(runs, some.Runs...)
	}
	return runs, nil
}

// Counts reads the counts of the upstreams of service, by name.
func (d *Deployment) Counts(service string) (counts upstream.Counts, err error) {
	err = Get(d.upstreamControl[service], "/control/counts", &counts)
	return counts, err
}

// PlatformCounts reads the counts of the platform.
func (d *Deployment) PlatformCounts() (counts platform.Counts, err error) {
	err = Get(d.ControlAddress, "/control/counts", &counts)
	return counts, err
}

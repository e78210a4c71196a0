package entry

import (
	"cmp"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/place"
)

// Settings holds the settings of a host. Times are in milliseconds.
type Settings struct {
	ID               string     `toml:"id"`
	AvailabilityZone string     `toml:"availability_zone"`
	LinkMbps         float64    `toml:"link_mbps"`   // speed of this host's network link; 0 counts as fast enough
	FirstStart       bool       `toml:"first_start"` // set when the whole fleet starts for the first time
	Listen           Listen     `toml:"listen"`
	Platform         Platform   `toml:"platform"`
	Budgets          Budgets    `toml:"budgets"`
	Bounds           Bounds     `toml:"bounds"`
	Quotas           Quotas     `toml:"quotas"`
	WarmUp           WarmUp     `toml:"warm_up"`
	Shutdown         Shutdown   `toml:"shutdown"`
	Log              LogLimit   `toml:"log"`
	Experiment       Experiment `toml:"experiment"`
	MemoryMB         int        `toml:"memory_mb"`       // memory limit of the process; 0 means defaultMemoryMB
	MaxDescriptors   int        `toml:"max_descriptors"` // that the process may have open; 0 means the kernel's limit
	Cores            float64    `toml:"cores"`           // number of cores that the process may use
}

// Listen holds the addresses that the host listens on, as ip:port.
type Listen struct {
	Caller    string `toml:"caller"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	Metrics   string `toml:"metrics"`
	Peer      string `toml:"peer"`
	// Forward is where requests of other hosts are taken. None are if it is empty.
	Forward string `toml:"forward"`
	// PeerAdvertised is the address at which other hosts reach Peer, if it differs from
	// Peer.
	PeerAdvertised string `toml:"peer_advertised"`
	// ForwardAdvertised is the same for Forward.
	ForwardAdvertised string `toml:"forward_advertised"`
}

// Platform holds the address of the platform's store.
type Platform struct {
	Address string `toml:"address"`
	// HeartbeatMs is how often upstreams write to the store; 0 means defaultHeartbeat. Their
	// entries expire after three times as long without.
	HeartbeatMs float64 `toml:"heartbeat_ms"`
}

// defaultHeartbeat is the interval of upstreams' heartbeats if the settings give none.
const defaultHeartbeat = 1500 * clock.Millisecond

// minLapse returns the shortest outage of the store in which an entry can expire: its upstream
// may have written one interval before.
func (p Platform) minLapse() clock.Millis {
	return 2 * cmp.Or(clock.Millis(p.HeartbeatMs), defaultHeartbeat)
}

// Budgets holds limits for all hosts together.
type Budgets struct {
	ProbesPerSecond float64      `toml:"probes_per_second"` // to each upstream
	RepeatRatio     float64      `toml:"repeat_ratio"`      // sends beyond the first of each request (retries and hedges), as a share of the requests
	RepeatSlack     float64      `toml:"repeat_slack"`      // number of such sends allowed in addition to RepeatRatio
	AddressTTLMs    clock.Millis `toml:"address_ttl_ms"`    // longest time for which callers may keep addresses
}

// Bounds holds the times within which this host must know what the platform has
// accepted. Those that are not set are defaultChangeBound.
type Bounds struct {
	ConfigurationMs float64 `toml:"configuration_ms"` // a configuration is in force
	LeavingMs       float64 `toml:"leaving_ms"`       // an upstream that leaves gets nothing more
	// RevocationMs is how old the configuration may be that a key is checked against, on
	// any host at any time; 0 means no bound.
	RevocationMs float64 `toml:"revocation_ms"`
}

// Quotas holds how much more than their quota organisations may get from all hosts
// together: in any window of WindowMs, Overage times more and Slack requests besides.
type Quotas struct {
	WindowMs float64 `toml:"window_ms"`
	Overage  float64 `toml:"overage"`
	Slack    float64 `toml:"slack"`
}

// WarmUp holds how many requests an upstream that warms up may get from all hosts
// together in any second: Overage times its service's rate, and Slack besides.
type WarmUp struct {
	Overage float64 `toml:"overage"`
	Slack   float64 `toml:"slack"`
}

// Experiment holds what is changed for a comparison run. It is refused without a purpose,
// so that it does not end up in production by mistake.
type Experiment struct {
	Purpose string   `toml:"purpose"`
	Disable []string `toml:"disable"` // mechanisms of place.Mechanisms
}

// tuning returns the parameters of the dispatch decisions.
func (e Experiment) tuning() (t place.Tuning, err error) {
	t = place.DefaultTuning()
	if len(e.Disable) > 0 && e.Purpose == "" {
		return t, errors.New("experiment.purpose is missing: disable is only for experiments")
	}
	return t, errors.WithMessage(t.Disable(e.Disable...), "experiment.disable")
}

// defaultChangeBound is the bound for changes if the settings give none.
const defaultChangeBound = 2 * clock.Second

// configuration returns the bound for configurations.
func (b Bounds) configuration() clock.Millis {
	return cmp.Or(clock.Millis(b.ConfigurationMs), defaultChangeBound)
}

// change returns the bound for changes of any table.
func (b Bounds) change() clock.Millis {
	return min(b.configuration(), cmp.Or(clock.Millis(b.LeavingMs), defaultChangeBound))
}

// Shutdown holds the settings of a shutdown.
type Shutdown struct {
	GraceMs clock.Millis `toml:"grace_ms"` // time from the stop signal until the process is killed
	// LongRequestsMs is how long after the signal requests are sent that may run more than
	// once and may take until after the grace period; 0 for defaultLongRequests. They are sent
	// during half of the grace period at most.
	LongRequestsMs clock.Millis `toml:"long_requests_ms"`
}

// defaultLongRequests is LongRequestsMs if the settings give none.
const defaultLongRequests = 3 * clock.Second

// longRequests returns LongRequestsMs or its default.
func (s Shutdown) longRequests() clock.Millis { return cmp.Or(s.LongRequestsMs, defaultLongRequests) }

// LogLimit holds the log level and the rate limit of log lines.
type LogLimit struct {
	Level          string `toml:"level"`
	LinesPerSecond int    `toml:"lines_per_second"` // for each message
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (s *Settings, err error) {
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	s = &Settings{}
	if _, err = toml.DecodeFile(path, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// check returns an error for the first missing or invalid setting.
func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"id", s.ID},
		{"availability_zone", s.AvailabilityZone},
		{"listen.caller", s.Listen.Caller},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"listen.peer", s.Listen.Peer},
		{"platform.address", s.Platform.Address},
	} {
		if f.value == "" {
			return errors.Errorf("%s is missing", f.name)
		}
	}
	switch {
	case s.MemoryMB < 0:
		return errors.Errorf("memory_mb is %d: must be 0 or more", s.MemoryMB)
	case s.MaxDescriptors < 0 || s.MaxDescriptors > 0 && s.MaxDescriptors < minDescriptors:
		return errors.Errorf("max_descriptors is %d: must be at least %d, or 0 for the kernel's limit", s.MaxDescriptors, minDescriptors)
	case s.Platform.HeartbeatMs < 0:
		return errors.Errorf("platform.heartbeat_ms is %v: must be 0 or more", s.Platform.HeartbeatMs)
	case s.Budgets.ProbesPerSecond < 0:
		return errors.Errorf("budgets.probes_per_second is %v: must be 0 or more", s.Budgets.ProbesPerSecond)
	case s.Budgets.RepeatRatio < 0 || s.Budgets.RepeatRatio > 1:
		return errors.Errorf("budgets.repeat_ratio is %v: must be between 0 and 1", s.Budgets.RepeatRatio)
	case s.Budgets.AddressTTLMs <= 0:
		return errors.Errorf("budgets.address_ttl_ms is %d: must be greater than 0", s.Budgets.AddressTTLMs)
	case s.Bounds.change() < overlay.MinBound:
		return errors.Errorf("bounds: configuration_ms is %v and leaving_ms %v: must be at least %d, or 0 for the default",
			s.Bounds.ConfigurationMs, s.Bounds.LeavingMs, overlay.MinBound)
	case s.Bounds.RevocationMs < 0 || s.Bounds.RevocationMs > 0 && clock.Millis(s.Bounds.RevocationMs) < overlay.MinBound:
		return errors.Errorf("bounds.revocation_ms is %v: must be at least %d, or 0 for no bound", s.Bounds.RevocationMs, overlay.MinBound)
	case s.Quotas.WindowMs < 0 || s.Quotas.Overage < 0 || s.Quotas.Slack < 0:
		return errors.Errorf("quotas: window_ms is %v, overage %v and slack %v: must be 0 or more", s.Quotas.WindowMs, s.Quotas.Overage, s.Quotas.Slack)
	case s.WarmUp.Overage < 0 || s.WarmUp.Slack < 0:
		return errors.Errorf("warm_up: overage is %v and slack %v: must be 0 or more", s.WarmUp.Overage, s.WarmUp.Slack)
	case s.Shutdown.GraceMs <= 0:
		return errors.Errorf("shutdown.grace_ms is %d: must be greater than 0", s.Shutdown.GraceMs)
	case s.Shutdown.LongRequestsMs < 0:
		return errors.Errorf("shutdown.long_requests_ms is %d: must be 0 or more", s.Shutdown.LongRequestsMs)
	}
	_, err := s.Experiment.tuning()
	return err
}

package entry

import (
	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// Settings are those of a host that shares its upstreams with all others. Times
// are in milliseconds.
type Settings struct {
	ID               string   `toml:"id"`
	AvailabilityZone string   `toml:"availability_zone"`
	LinkMbps         float64  `toml:"link_mbps"`   // of the host's own link
	FirstStart       bool     `toml:"first_start"` // the whole fleet starts for the first time
	Listen           Listen   `toml:"listen"`
	Platform         Platform `toml:"platform"`
	Budgets          Budgets  `toml:"budgets"`
	Shutdown         Shutdown `toml:"shutdown"`
	Log              LogLimit `toml:"log"`
	MemoryMB         int      `toml:"memory_mb"` // that the process may use
	Cores            float64  `toml:"cores"`     // that the process may use
}

// Listen holds the addresses that the host serves, as ip:port.
type Listen struct {
	Caller    string `toml:"caller"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	Metrics   string `toml:"metrics"`
	Peer      string `toml:"peer"`
	// PeerAdvertised is where other hosts reach Peer, when that is another address.
	PeerAdvertised string `toml:"peer_advertised"`
}

// Platform says where the platform's store is.
type Platform struct {
	Address string `toml:"address"`
}

// Budgets bound what all hosts together may do.
type Budgets struct {
	ProbesPerSecond float64      `toml:"probes_per_second"` // at each upstream
	RepeatRatio     float64      `toml:"repeat_ratio"`      // sends beyond each request's first, as a share of the requests
	RepeatSlack     float64      `toml:"repeat_slack"`      // and this many besides
	AddressTTLMs    clock.Millis `toml:"address_ttl_ms"`    // the longest time for which callers keep addresses
}

// Shutdown says how long a stop may take.
type Shutdown struct {
	GraceMs clock.Millis `toml:"grace_ms"` // from the signal until the process is killed
}

// LogLimit bounds the log lines.
type LogLimit struct {
	Level          string `toml:"level"`
	LinesPerSecond int    `toml:"lines_per_second"` // of each kind
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

// check reports the first fault.
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
	case s.Budgets.ProbesPerSecond < 0:
		return errors.Errorf("budgets.probes_per_second is %v: give 0 or more", s.Budgets.ProbesPerSecond)
	case s.Budgets.RepeatRatio < 0 || s.Budgets.RepeatRatio > 1:
		return errors.Errorf("budgets.repeat_ratio is %v: give 0 to 1", s.Budgets.RepeatRatio)
	case s.Budgets.AddressTTLMs <= 0:
		return errors.Errorf("budgets.address_ttl_ms is %d: give more than 0", s.Budgets.AddressTTLMs)
	case s.Shutdown.GraceMs <= 0:
		return errors.Errorf("shutdown.grace_ms is %d: give more than 0", s.Shutdown.GraceMs)
	}
	return nil
}

// Package settings reads the daemon's TOML settings and checks them whole
// before anything starts.
package settings

import (
	"os"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Settings is what a host process is told at its start.
type Settings struct {
	ID               string // unique among the hosts
	AvailabilityZone string
	Listen           Listen
	Platform         Platform
	Limits           Limits
	Log              Log
	Shutdown         Shutdown

	path string // the file, for faults found later
}

// Listen holds the addresses the process listens on, each an IP number and a
// port. They are also the addresses that it tells others.
type Listen struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform says where the platform's service is and how it is asked.
type Platform struct {
	Address   string // IP number and port
	PollMs    int    // milliseconds between two looks for a newer table or assignment
	TimeoutMs int    // milliseconds that one call may take
}

// Limits bounds what callers and peers may send.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int // callers' connections
	MaxInFlight    int // callers' requests being worked on or waiting
}

// Log says what is logged and how.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Shutdown says how long a graceful shutdown takes at most.
type Shutdown struct {
	GraceMs int // milliseconds that kept address answers are served on
	DrainMs int // milliseconds that requests in flight may then still take
}

// Load reads the file at path. Its error is Faults when the file can be read
// but something in it is wrong; it then holds every fault, not only the first.
func Load(path string) (s *Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithMessage(err, "settings can't be read; check --settings")
	}
	return Parse(path, string(text))
}

// Parse does the work of Load on text already read; path is only named in faults.
func Parse(path, text string) (s *Settings, err error) {
	given := map[string]any{}
	if _, err := toml.Decode(text, &given); err != nil {
		return nil, FieldErrors{syntaxFault(path, err)}
	}
	s = &Settings{path: path}
	c := checker{path: path, given: map[string]any{}}
	c.flatten("", given)
	for _, f := range fields(s) {
		c.apply(f)
	}
	c.unknown()
	c.duplicates(s)
	if len(c.faults) > 0 {
		return nil, c.sorted()
	}
	return s, nil
}

func syntaxFault(path string, err error) FieldError {
	f := FieldError{File: path, Key: "(file)", Problem: err.Error(), Fix: "correct the TOML syntax"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		f.Problem = parse.Error()
	}
	return f
}

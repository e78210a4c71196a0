// Package settings reads the daemon's TOML settings file and validates all of it
// before the daemon starts.
package settings

import (
	"os"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Settings is the configuration of a host process.
type Settings struct {
	ID               string // unique among the hosts
	AvailabilityZone string
	Listen           Listen
	Platform         Platform
	Limits           Limits
	Log              Log
	Shutdown         Shutdown

	path string // path of the file, for errors found after parsing
}

// Listen holds the addresses that the process listens on, each an IP address with a
// port. The process also announces them to other hosts.
type Listen struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform configures the client of the platform's service.
type Platform struct {
	Address   string // IP address and port
	PollMs    int    // interval between polls for a newer table or assignment
	TimeoutMs int    // timeout of one call
}

// Limits bounds what callers and peers may send.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int // connections from callers
	MaxInFlight    int // requests from callers that are being served or waiting
}

// Log configures logging.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Shutdown limits the duration of a graceful shutdown.
type Shutdown struct {
	GraceMs int // how long requests are still accepted from callers that have cached this host's address
	DrainMs int // how long requests in flight may then still take
}

// Load reads and validates the file at path. If the file can be read but its contents
// are invalid, the error is a FieldErrors that holds every error, not only the first.
func Load(path string) (s *Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithMessage(err, "cannot read settings; check --settings")
	}
	return Parse(path, string(text))
}

// Parse validates the text of a settings file. path is used only in error messages.
func Parse(path, text string) (s *Settings, err error) {
	values := map[string]any{}
	if _, err := toml.Decode(text, &values); err != nil {
		return nil, FieldErrors{syntaxError(path, err)}
	}
	s = &Settings{path: path}
	c := checker{path: path, unused: map[string]any{}}
	c.flatten("", values)
	for _, f := range fields(s) {
		c.apply(f)
	}
	c.reportUnknownKeys()
	c.reportDuplicateAddresses(s)
	if len(c.errs) > 0 {
		return nil, c.sortedErrors()
	}
	return s, nil
}

func syntaxError(path string, err error) FieldError {
	e := FieldError{File: path, Key: "(file)", Problem: err.Error(), Fix: "correct the TOML syntax"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		e.Problem = parse.Error()
	}
	return e
}

package main

import (
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

const defaultTimeout = 10 * time.Second

// settings is the content of the TOML settings file. Flags and environment variables
// take precedence over it.
type settings struct {
	Platform  string `toml:"platform"`   // IP address and port
	Author    string `toml:"author"`     // recorded with edits
	TimeoutMs int    `toml:"timeout_ms"` // how long to retry; 0 means defaultTimeout
}

// readSettings sets the flags that were not given from the settings file. A missing
// file is an error only if its path was given.
func (a *app) readSettings() error {
	path, explicit := a.Settings, true
	if path == "" {
		dir, err := os.UserConfigDir()
		if err == nil {
			path, explicit = filepath.Join(dir, "siskinctl.toml"), false
		}
	}
	if path != "" {
		err := a.settings.load(path)
		if err != nil && (explicit || !errors.Is(err, os.ErrNotExist)) {
			return usageError(err)
		}
	}
	a.applySettings()
	return nil
}

// applySettings sets empty flags from the settings or to their defaults. The default
// author is the name of the current user.
func (a *app) applySettings() {
	if a.Platform == "" {
		a.Platform = a.settings.Platform
	}
	if a.Author == "" {
		a.Author = a.settings.Author
	}
	if u, err := user.Current(); a.Author == "" && err == nil {
		a.Author = u.Username
	}
	if a.Timeout == 0 {
		a.Timeout = time.Duration(a.settings.TimeoutMs) * time.Millisecond
	}
	if a.Timeout == 0 {
		a.Timeout = defaultTimeout
	}
}

// load reads and validates the settings file.
func (s *settings) load(path string) (err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	meta, err := toml.DecodeFile(path, s)
	if err != nil {
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		names := make([]string, len(unknown))
		for i, key := range unknown {
			names[i] = key.String()
		}
		return errors.Errorf("unknown key %s; use platform, author and timeout_ms", strings.Join(names, ", "))
	}
	if s.TimeoutMs < 0 {
		return errors.New("timeout_ms is negative; use milliseconds, 1 or more")
	}
	return nil
}

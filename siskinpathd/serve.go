package main

import (
	"github.com/pkg/errors"

	"siskinpath/siskinpathd/settings"
)

// serve runs the daemon with settings already checked.
func serve(_ *settings.Settings) error {
	return errors.New("not joined yet")
}

package main

import (
	"fmt"

	"siskinpath/siskinpathd/settings"
)

var checkCommand = command{
	name:  "check",
	help:  "Check the settings and whether the listen addresses can be bound, without serving.",
	flags: &checkFlags{},
}

type checkFlags struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings file in TOML format; see siskinpathd.toml(5)."`
}

// Run checks the settings file and its listen addresses. The error has one line for
// each problem found.
func (f *checkFlags) Run() error {
	cfg, err := settings.Load(f.Settings)
	if err != nil {
		return err
	}
	if err := settings.CheckListenAddresses(cfg); err != nil {
		return err
	}
	_, err = fmt.Println(f.Settings + ": good")
	return err
}

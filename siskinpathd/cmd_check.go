package main

import (
	"fmt"

	"siskinpath/siskinpathd/settings"
)

var checkCommand = command{
	name:  "check",
	help:  "Check the settings and whether their addresses can be bound, without starting.",
	flags: &checkFlags{},
}

type checkFlags struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"TOML file of settings, see siskinpathd.toml(5)."`
}

// Run prints one line for each fault and fails when there is one.
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

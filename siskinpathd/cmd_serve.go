package main

import "siskinpath/siskinpathd/settings"

var serveCommand = command{
	name:  "serve",
	help:  "Check the settings, then serve until SIGTERM or SIGINT.",
	flags: &serveFlags{},
}

type serveFlags struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"TOML file of settings, see siskinpathd.toml(5)."`
}

// Run checks the settings whole before anything starts.
func (f *serveFlags) Run() error {
	cfg, err := settings.Load(f.Settings)
	if err != nil {
		return err
	}
	if err := settings.CheckListenAddresses(cfg); err != nil {
		return err
	}
	tuneMemory()
	return serveUntilStopped(cfg)
}

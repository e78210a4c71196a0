package main

import "siskinpath/siskinpathd/settings"

var serveCommand = command{
	name:  "serve",
	help:  "Check the settings, then serve until SIGTERM or SIGINT.",
	flags: &serveFlags{},
}

type serveFlags struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings file in TOML format; see siskinpathd.toml(5)."`
}

// Run checks all settings before it starts the daemon.
func (f *serveFlags) Run() error {
	cfg, err := settings.Load(f.Settings)
	if err != nil {
		return err
	}
	if err := settings.CheckListenAddresses(cfg); err != nil {
		return err
	}
	configureGC()
	return serveUntilStopped(cfg)
}

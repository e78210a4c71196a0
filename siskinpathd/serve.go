package main

import (
	"siskinpath/siskinpathd/serve"
	"siskinpath/siskinpathd/settings"
)

// serveUntilStopped runs the daemon with settings already checked.
func serveUntilStopped(cfg *settings.Settings) error { return serve.Run(cfg) }

package main

import (
	"siskinpath/siskinpathd/serve"
	"siskinpath/siskinpathd/settings"
)

// serveUntilStopped runs the daemon with validated settings until it is stopped.
func serveUntilStopped(cfg *settings.Settings) error { return serve.Run(cfg) }

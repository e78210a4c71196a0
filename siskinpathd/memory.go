package main

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent is above the default of 100, because the heap of an idle host is only
	// a few megabytes and would be collected several times a minute to no benefit.
	gcPercent = 400
	// memoryLimitBytes makes the runtime collect more often when memory use approaches
	// the limit, despite gcPercent.
	memoryLimitBytes = 224 << 20
)

// configureGC sets the garbage collector's target and memory limit, unless the
// environment variables GOGC and GOMEMLIMIT do.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

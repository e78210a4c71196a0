package main

import (
	"os"
	"runtime/debug"
)

// The heap of an idle host is a few megabytes, so that the runtime's default
// would collect several times a minute for nothing. Near the limit it collects
// more often by itself.
const (
	gcPercent        = 400
	memoryLimitBytes = 224 << 20
)

// tuneMemory sets the collector's pace, unless the environment does.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

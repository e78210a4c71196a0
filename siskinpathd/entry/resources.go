package entry

import (
	"cmp"
	"syscall"

	"siskinpath/siskinpathd/memory"
)

// Shares of the process's memory limit. What is held for clients leaves room for the tables and
// the runtime, for garbage, and for the kernel's buffers; see docs/resources.md.
const (
	// clientMemoryShare is for all that is held for clients.
	clientMemoryShare = 0.5
	// connectionMemoryShare is the part of it for the connections themselves.
	connectionMemoryShare = 0.1
)

const (
	// connectionBytes is what an idle connection takes: its read buffer, two goroutines and
	// the kernel's socket.
	connectionBytes = 16 << 10
	// defaultMemoryMB replaces the memory limit if the settings give none.
	defaultMemoryMB = 256
)

const (
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// callerDescriptorShare is the share of the others that callers' connections may take. The
	// rest is for connections to upstreams, hosts and the store, and for the other listeners.
	callerDescriptorShare = 0.4
	// minDescriptors is the smallest limit that the settings may give.
	minDescriptors = 64
)

// resources are the limits on what the host holds for its clients.
type resources struct {
	memory         *memory.Budget
	maxConnections int // of callers
}

func newResources(cfg *Settings) *resources {
	total := memoryShare(cfg, 1)
	callers := int(callerDescriptorShare * float64(socketDescriptors(cfg)))
	return &resources{
		memory:         &memory.Budget{Total: memoryShare(cfg, clientMemoryShare)},
		maxConnections: max(1, min(callers, int(connectionMemoryShare*float64(total)/connectionBytes))),
	}
}

// memoryShare returns a share of the process's memory limit in bytes.
func memoryShare(cfg *Settings, share float64) int64 {
	return int64(share * float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20))
}

// socketDescriptors returns the number of descriptors that sockets may take.
func socketDescriptors(cfg *Settings) int {
	n := cmp.Or(cfg.MaxDescriptors, processDescriptors())
	return n - min(fileDescriptors, n/4)
}

// processDescriptors returns the number of descriptors that the kernel allows this process.
func processDescriptors() int {
	const fallback = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, 1<<20))
}

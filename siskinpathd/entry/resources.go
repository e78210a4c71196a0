package entry

import (
	"cmp"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/siskinpathd/memory"
	"siskinpath/siskinpathd/upstream"
)

// Shares of the process's memory limit. What is held for clients leaves room for the tables and
// the runtime, for garbage, and for the kernel's buffers; see docs/resources.md.
const (
	// clientMemoryShare is for all that is held for clients.
	clientMemoryShare = 0.57
	// bodyMemoryShare is the part of it for the bodies of requests that are being read or held,
	// and loneBodyShare for a body while there is no other one. Buffers that grow take about
	// twice as much for a moment.
	bodyMemoryShare = 0.125
	loneBodyShare   = 0.48
	// replyMemoryShare and replyMaxShare are the parts of it for replies of upstreams that are
	// being read or wait for their clients: for long ones, and for all. Buffers that grow take
	// about twice as much for a moment.
	replyMemoryShare = 0.125
	replyMaxShare    = 0.15
	// replyMemoryParts is how many replies may be as long as allowed at the same time.
	replyMemoryParts = 4
	// headerMemoryShare is the part of it for the headers of requests.
	headerMemoryShare = 0.075
	// connectionMemoryShare is the part of it for the connections themselves.
	connectionMemoryShare = 0.08
	// upstreamMemoryShare is the part of it for connections to upstreams. There is one for each
	// request that runs, so that it is above connectionMemoryShare.
	upstreamMemoryShare = 0.1
	// directoryMemoryShare and operatorMemoryShare are for the connections to the other ports,
	// that of the directory and each of the others.
	directoryMemoryShare = 0.02
	operatorMemoryShare  = 0.01
)

// unreadMemoryShare is the share of the process's memory limit, besides clientMemoryShare, that
// the kernel may hold of responses that clients have not taken.
const unreadMemoryShare = 0.15

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
	callerDescriptorShare = 0.35
	// upstreamDescriptorShare is the same for connections to upstreams.
	upstreamDescriptorShare = 0.4
	// directoryDescriptorShare and operatorDescriptorShare are the same for the other ports.
	directoryDescriptorShare = 0.06
	operatorDescriptorShare  = 0.03
	// minDescriptors is the smallest limit that the settings may give.
	minDescriptors = 64
)

// resources are the limits on what the host holds for its clients.
type resources struct {
	memory         *memory.Budget
	bodies         *bodyBudget
	replies        *upstream.ReplyBudget
	headers        *memory.Part
	connections    *memory.Part
	unread         *unreadBudget
	upstreams      *upstream.ConnectionLimit
	maxConnections int // of callers
}

// limitsInForce holds the resources of the process, for its metrics.
var limitsInForce atomic.Pointer[resources]

func init() {
	for name, value := range map[string]func(*resources) int64{
		"client_memory_bytes":        func(r *resources) int64 { return r.memory.InUse() },
		"client_memory_limit_bytes":  func(r *resources) int64 { return r.memory.Total },
		"request_header_bytes":       func(r *resources) int64 { return r.headers.InUse() },
		"caller_connections_limit":   func(r *resources) int64 { return int64(r.maxConnections) },
		"upstream_reply_limit_bytes": func(r *resources) int64 { return r.replies.Total },
		"unread_response_bytes":      func(r *resources) int64 { return r.unread.Memory.InUse() },
		"request_header_limit_bytes": func(r *resources) int64 { return r.headers.Limit },
	} {
		metrics.NewGauge(name, func() float64 {
			r := limitsInForce.Load()
			if r == nil {
				return 0
			}
			return float64(value(r))
		})
	}
}

func newResources(cfg *Settings) *resources {
	total := &memory.Budget{Total: memoryShare(cfg, clientMemoryShare)}
	replies := memoryShare(cfg, replyMemoryShare)
	r := &resources{
		memory:         total,
		bodies:         newBodyBudget(cfg.MemoryMB),
		replies:        &upstream.ReplyBudget{PerReply: replies / replyMemoryParts, Total: replies, Max: memoryShare(cfg, replyMaxShare), Memory: total},
		headers:        &memory.Part{Limit: memoryShare(cfg, headerMemoryShare), Budget: total},
		upstreams:      &upstream.ConnectionLimit{Max: connectionLimit(cfg, upstreamDescriptorShare, upstreamMemoryShare)},
		unread:         newUnreadBudget(memoryShare(cfg, unreadMemoryShare)),
		connections:    &memory.Part{Limit: memoryShare(cfg, connectionMemoryShare), Budget: total},
		maxConnections: connectionLimit(cfg, callerDescriptorShare, connectionMemoryShare),
	}
	r.bodies.Lone, r.bodies.Memory = memoryShare(cfg, loneBodyShare), total
	limitsInForce.Store(r)
	return r
}

// connectionLimit returns the number of connections that shares of the descriptors and of the
// memory allow.
func connectionLimit(cfg *Settings, descriptorShare, memory float64) int {
	descriptors := int(descriptorShare * float64(socketDescriptors(cfg)))
	return max(1, min(descriptors, int(memoryShare(cfg, memory)/connectionBytes)))
}

// DirectoryConnections returns the number of connections to the directory.
func (s *Settings) DirectoryConnections() int {
	return connectionLimit(s, directoryDescriptorShare, directoryMemoryShare)
}

// OperatorConnections returns the number of connections to each port for operators and checks.
func (s *Settings) OperatorConnections() int {
	return connectionLimit(s, operatorDescriptorShare, operatorMemoryShare)
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

package launch

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports below those that the system hands to outgoing connections, in blocks.
const (
	firstPort = 18000
	lastPort  = 31000
	blockSize = 500
)

// LoopbackIP is the IP number of everything that is launched.
const LoopbackIP = "127.0.0.1"

// PortAllocator hands out ports of a block that no other launcher on this machine uses,
// so that a port that is closed for a while isn't taken meanwhile. The zero
// value is ready.
type PortAllocator struct {
	lock net.Listener // held as long as the block is
	next int
	end  int
}

// Allocate returns the first of n consecutive ports that nobody listens on.
func (p *PortAllocator) Allocate(n int) (first int, err error) {
	if p.lock == nil {
		if err := p.reserve(); err != nil {
			return 0, err
		}
	}
	for p.next+n <= p.end {
		first = p.next
		taken := firstTaken(first, n)
		if taken < 0 {
			p.next += n
			return first, nil
		}
		p.next = taken + 1
	}
	return 0, errors.Errorf("no %d consecutive free ports left below %d", n, p.end)
}

// reserve takes a block by a name that only one process can hold.
func (p *PortAllocator) reserve() error {
	for _, i := range rand.Perm((lastPort - firstPort) / blockSize) {
		first := firstPort + i*blockSize
		lock, err := net.Listen("unix", fmt.Sprintf("@siskinpath-standin-ports-%d", first))
		if err == nil {
			p.lock, p.next, p.end = lock, first, first+blockSize
			return nil
		}
	}
	return errors.Errorf("every block of ports between %d and %d is in use; end other runs of standin", firstPort, lastPort)
}

// Release gives the block back.
func (p *PortAllocator) Release() {
	if p.lock != nil {
		_ = p.lock.Close()
		p.lock = nil
	}
}

// firstTaken returns the first port of n from first on that somebody listens on,
// or -1.
func firstTaken(first, n int) int {
	for port := first; port < first+n; port++ {
		ln, err := net.Listen("tcp", Address(port))
		if err != nil {
			return port
		}
		_ = ln.Close()
	}
	return -1
}

// Address returns the loopback address of port.
func Address(port int) string { return fmt.Sprintf("%s:%d", LoopbackIP, port) }

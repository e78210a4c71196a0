package launch

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Range of the ports, divided into blocks. It lies below the ports that the system
// assigns to outgoing connections.
const (
	firstPort = 18000
	lastPort  = 31000
	blockSize = 500
)

// LoopbackIP is the address that all launched processes listen on.
const LoopbackIP = "127.0.0.1"

// PortAllocator allocates ports from a block that no other PortAllocator on this
// machine uses, so that a port that a process closes for a while can't be taken by
// another deployment. The zero value is ready to use.
type PortAllocator struct {
	lock net.Listener // open as long as the block is reserved
	next int
	end  int
}

// Allocate returns the first of n consecutive ports without a listener.
func (p *PortAllocator) Allocate(n int) (first int, err error) {
	if p.lock == nil {
		if err := p.reserve(); err != nil {
			return 0, err
		}
	}
	for p.next+n <= p.end {
		first = p.next
		inUse := firstInUse(first, n)
		if inUse < 0 {
			p.next += n
			return first, nil
		}
		p.next = inUse + 1
	}
	return 0, errors.Errorf("no %d consecutive free ports left below %d", n, p.end)
}

// reserve reserves a random free block by listening on an abstract Unix socket
// named after it, which only one process can do at a time.
func (p *PortAllocator) reserve() error {
	for _, i := range rand.Perm((lastPort - firstPort) / blockSize) {
		first := firstPort + i*blockSize
		lock, err := net.Listen("unix", fmt.Sprintf("@siskinpath-standin-ports-%d", first))
		if err == nil {
			p.lock, p.next, p.end = lock, first, first+blockSize
			return nil
		}
	}
	return errors.Errorf("every block of ports between %d and %d is in use; stop other runs of standin", firstPort, lastPort)
}

// Release makes the block available to other allocators.
func (p *PortAllocator) Release() {
	if p.lock != nil {
		_ = p.lock.Close()
		p.lock = nil
	}
}

// firstInUse returns the first port in use of the n ports from first on, or -1.
func firstInUse(first, n int) int {
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

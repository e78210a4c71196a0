package launch

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports below those that the system hands to outgoing connections.
const (
	firstPort = 18000
	lastPort  = 31000
	portTries = 200
)

// Loopback is the IP number of everything that is launched.
const Loopback = "127.0.0.1"

// FreePorts returns the first of n consecutive ports that nobody listens on.
func FreePorts(n int) (first int, err error) {
	for range portTries {
		first = firstPort + rand.IntN(lastPort-firstPort-n)
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.Errorf("no %d consecutive free ports between %d and %d", n, firstPort, lastPort)
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		ln, err := net.Listen("tcp", Address(port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// Address returns the loopback address of port.
func Address(port int) string { return fmt.Sprintf("%s:%d", Loopback, port) }

package tcp

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Buffers are the sizes of the kernel's buffers of a connection in bytes. Without them the kernel
// lets the buffers grow to megabytes for each connection.
type Buffers struct {
	Send    int
	Receive int
}

// Listen listens on an address. The connections have the given buffers.
func Listen(address string, buffers Buffers) (*net.TCPListener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			// Accepted connections inherit both.
			err = errors.WithMessage(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, buffers.Send), "send buffer")
			if err == nil {
				err = errors.WithMessage(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffers.Receive), "receive buffer")
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

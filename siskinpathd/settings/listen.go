package settings

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// CheckListenAddresses binds each listen address for a moment. Its error is Faults, one
// for each address that can't be bound.
func CheckListenAddresses(s *Settings) error {
	var faults FieldErrors
	for _, a := range s.listens() {
		l, err := net.Listen("tcp", a.value)
		if err != nil {
			faults = append(faults, bindFault(s.path, a, err))
			continue
		}
		_ = l.Close() // nothing was accepted
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func bindFault(path string, a keyedAddress, err error) FieldError {
	f := FieldError{File: path, Key: a.key, Problem: a.value + " can't be bound: " + err.Error(), Fix: "give an address of this machine and a free port"}
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		f.Problem = a.value + " is in use by another process"
		f.Fix = "stop that process or give another port"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		f.Problem = a.value + " is not an address of this machine"
		f.Fix = "give one of this machine's IP numbers"
	case errors.Is(err, syscall.EACCES):
		f.Problem = a.value + " needs more rights than this process has"
		f.Fix = "give a port above 1023"
	}
	return f
}

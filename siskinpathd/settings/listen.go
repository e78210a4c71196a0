package settings

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// CheckListenAddresses checks that each listen address can be bound, by binding it
// briefly. The error is a FieldErrors with one entry for each address that cannot.
func CheckListenAddresses(s *Settings) error {
	var errs FieldErrors
	for _, a := range s.listenAddresses() {
		l, err := net.Listen("tcp", a.value)
		if err != nil {
			errs = append(errs, bindError(s.path, a, err))
			continue
		}
		_ = l.Close() // no connection was accepted, so nothing is lost
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

func bindError(path string, a keyedAddress, err error) FieldError {
	e := FieldError{File: path, Key: a.key, Problem: "cannot bind " + a.value + ": " + err.Error(), Fix: "use an address of this machine and a free port"}
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		e.Problem = a.value + " is in use by another process"
		e.Fix = "stop that process or use another port"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		e.Problem = a.value + " is not an address of this machine"
		e.Fix = "use one of this machine's IP addresses"
	case errors.Is(err, syscall.EACCES):
		e.Problem = "no permission to bind " + a.value
		e.Fix = "use a port above 1023"
	}
	return e
}

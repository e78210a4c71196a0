package main

// Exit statuses.
const (
	exitOK         = 0
	exitFailure    = 1
	exitUsage      = 2
	exitConflict   = 3
	exitPlatform   = 4 // the platform is unreachable
	exitNotInForce = 5 // not in force on every host that can be reached, or none can be reached
)

// exitError is an error with an exit status.
type exitError struct {
	status int
	cause  error
}

func (e *exitError) Error() string { return e.cause.Error() }
func (e *exitError) Unwrap() error { return e.cause }

func usageError(err error) error { return &exitError{exitUsage, err} }

package main

import (
	"net/netip"

	"github.com/pkg/errors"

	"siskinpath/siskinctl/operator"
)

var stateCommand = command{"state", "Print the state of a host's process, as JSON.", func() any { return &stateCmd{} }}

type stateCmd struct {
	Name string `arg:"" help:"Host id, or operator address of the host." name:"host"`
}

// Run prints the state.
func (c *stateCmd) Run(a *app) error {
	address, err := c.address(a)
	if err != nil {
		return err
	}
	state, err := operator.State(address)
	if err != nil {
		return err
	}
	a.printf("%s\n", state)
	return nil
}

// address returns the operator address of the host.
func (c *stateCmd) address(a *app) (string, error) {
	if _, err := netip.ParseAddrPort(c.Name); err == nil {
		return c.Name, nil
	}
	hosts, err := a.hosts()
	if err != nil {
		return "", err
	}
	for _, h := range hosts {
		if h.ID == c.Name {
			return h.OperatorAddress, nil
		}
	}
	return "", errors.Errorf("host %s is not listed; see siskinctl hosts", c.Name)
}

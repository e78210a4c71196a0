package main

import (
	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var checkCommand = command{"check", "Check a table file without applying it.", func() any { return &checkCmd{} }}

type checkCmd struct {
	File string `arg:"" help:"Table file, - for standard input."`
}

type checkReply struct {
	Valid     bool                    `json:"sound"`
	Services  int                     `json:"services"`
	Upstreams int                     `json:"upstreams"`
	Errors    []table.ValidationError `json:"faults"`
}

// Run checks the file.
func (c *checkCmd) Run(a *app) error {
	t, err := parseFile(c.File)
	errs := table.ValidationErrors{}
	if err != nil && !errors.As(err, &errs) {
		return err
	}
	reply := checkReply{Valid: err == nil, Errors: errs}
	if t != nil {
		reply.Services = len(t.Services)
		for _, s := range t.Services {
			reply.Upstreams += len(s.Upstreams)
		}
	}
	if a.JSON {
		_ = a.printJSON(reply)
	} else if err == nil {
		a.printf("%s is valid: %d services, %d upstreams\n", c.File, reply.Services, reply.Upstreams)
	}
	return err
}

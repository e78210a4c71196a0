package main

import (
	"strings"

	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var showCommand = command{"show", "Print the table.", func() any { return &showCmd{} }}

type showCmd struct {
	Version uint64 `help:"Print this version instead of the newest." placeholder:"N"`
	CSV     bool   `help:"Print the table as a CSV file for editing." name:"csv"`
	Service string `arg:"" optional:"" help:"Print only this service."`
}

type showReply struct {
	Version uint64                  `json:"version"`
	Author  string                  `json:"author"`
	Time    string                  `json:"time"`
	Columns []string                `json:"columns"`
	Rows    [][]string              `json:"rows"`
	Errors  []table.ValidationError `json:"faults"`
}

// Run prints a version of the table.
func (c *showCmd) Run(a *app) error {
	s, err := a.readVersion(c.Version)
	if err != nil {
		return err
	}
	t := filterService(s.Table, c.Service)
	text := string(table.Format(t))
	switch {
	case a.JSON:
		errs := table.ValidationErrors{}
		_ = errors.As(s.ParseErr, &errs)
		return a.printJSON(showReply{s.Version, s.Row.Author, s.Row.Time, table.Columns(), splitCells(text)[1:], errs})
	case c.CSV:
		a.printErrf("%s\n", s)
		a.printf("%s", text)
	default:
		a.printf("%s\n", s)
		a.printColumns(splitCells(text))
	}
	if s.ParseErr != nil {
		a.printErrf("invalid rows are left out:\n%v\n", s.ParseErr)
	}
	return nil
}

// filterService returns a table with only the given service of t, or t itself if
// service is empty.
func filterService(t *table.Table, service string) *table.Table {
	if service == "" || t == nil {
		return t
	}
	part := &table.Table{Version: t.Version}
	if s := t.Service(service); s != nil {
		part.Services = []table.Service{*s}
	}
	return part
}

// splitCells splits the output of table.Format into rows of cells. Splitting at
// commas is enough because no cell needs quotes.
func splitCells(text string) (rows [][]string) {
	for line := range strings.Lines(text) {
		rows = append(rows, strings.Split(strings.TrimSuffix(line, "\n"), ","))
	}
	return rows
}

package main

import "siskinpath/core/table"

var diffCommand = command{"diff", "Print the changes that applying a table file would make.", func() any { return &diffCmd{} }}

type diffCmd struct {
	File    string `arg:"" help:"Table file, - for standard input."`
	Version uint64 `help:"Compare with an earlier version instead of the newest." placeholder:"N"`
}

type diffReply struct {
	Version uint64         `json:"version"`
	Changes []table.Change `json:"changes"`
}

// Run compares the file with a version of the table.
func (c *diffCmd) Run(a *app) error {
	mine, err := parseFile(c.File)
	if err != nil {
		return err
	}
	s, err := a.readVersion(c.Version)
	if err != nil {
		return err
	}
	changes := table.Diff(s.Table, mine)
	if a.JSON {
		return a.printJSON(diffReply{s.Version, changes})
	}
	a.printChanges(changes)
	a.printf("%d rows differ from %s\n", len(changes), s)
	return nil
}

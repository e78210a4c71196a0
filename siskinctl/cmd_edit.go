package main

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var editCommand = command{"edit", "Edit the table in $EDITOR and apply it.", func() any { return &editCmd{} }}

type editCmd struct {
	editFlags
	Editor string `help:"Editor command." env:"EDITOR" default:"vi" hidden:""`
}

// Run opens the newest version in the editor and applies the result. A version with
// invalid rows is opened as stored, with all its rows.
func (c *editCmd) Run(a *app) error {
	s, err := a.readNewest()
	if err != nil {
		return err
	}
	text := []byte(s.Row.CSV)
	if s.Version == 0 || s.ParseErr == nil {
		text = table.Format(s.Table)
	}
	mine, err := c.editText(a, text)
	if err != nil {
		return err
	}
	return c.commit(a, s.replaceBase(), mine)
}

// editText opens text in the editor and parses the result. If the result is not a valid
// table, the file is kept so that no work is lost.
func (c *editCmd) editText(a *app, text []byte) (t *table.Table, err error) {
	dir, err := os.MkdirTemp("", "siskinctl-")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "table.csv")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("sh", "-c", c.Editor+` "$1"`, "sh", path)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, a.out, a.err
	if err := cmd.Run(); err != nil {
		return nil, errors.WithMessagef(err, "editor %s", c.Editor)
	}
	t, err = parseFile(path)
	if err != nil {
		return nil, errors.WithMessage(err, "nothing was applied; the edited file is kept")
	}
	return t, os.RemoveAll(dir)
}

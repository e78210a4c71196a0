package main

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/table"
	"siskinpath/siskinctl/platform"
)

// editIDBytes is the length of the random id of an edit.
const editIDBytes = 12

// acceptedReply is the JSON output for an accepted edit.
type acceptedReply struct {
	Version   uint64         `json:"version"`
	Unchanged bool           `json:"unchanged"` // the newest version already contained the edit
	Merged    bool           `json:"merged"`    // the edit was merged with edits made since its base
	Changes   []table.Change `json:"changes"`
}

// conflictReply is the JSON output for an edit that conflicts with another one.
type conflictReply struct {
	Conflicts []table.Conflict `json:"conflicts"`
}

// editFlags holds the flags of all commands that change the table. Its methods
// commit the edit.
type editFlags struct {
	Wait bool `help:"Wait until the edit is in force on every host that can be reached."`
}

// commit makes the edit that turns base into mine the newest version of the table
// and prints the result.
func (e *editFlags) commit(a *app, base, mine *table.Table) error {
	client, err := a.platformClient()
	if err != nil {
		return err
	}
	id := make([]byte, editIDBytes)
	_, _ = rand.Read(id)
	editor := &table.Editor{
		EditID: hex.EncodeToString(id),
		Author: a.Author,
		Time:   time.Now().UTC().Format(time.RFC3339),
		Base:   base,
		Mine:   mine,
	}
	result := a.runEditor(client, editor)
	if err := a.printResult(result, table.Diff(base, mine)); err != nil {
		return err
	}
	if !e.Wait {
		return nil
	}
	return a.waitInForce(result.Version)
}

// runEditor carries out the steps of editor and returns the last one, which holds the
// result of the edit.
func (a *app) runEditor(client *platform.Client, editor *table.Editor) table.Step {
	deadline := time.Now().Add(a.Timeout)
	step := editor.Start()
	for {
		switch step.Kind {
		case table.StepRead:
			rows, err := a.readRowsUntil(client, deadline, step.Keys...)
			if err != nil {
				return editor.Unavailable(err)
			}
			step = editor.RowsRead(rows)
		case table.StepCommit:
			step = transact(client, editor, step, deadline)
		default:
			return step
		}
	}
}

// transact carries out the commit of step. If the transaction was certainly not
// applied, it is retried until the deadline.
func transact(client *platform.Client, editor *table.Editor, step table.Step, deadline time.Time) table.Step {
	for {
		version, err := client.Transact(step.Checks, step.Puts)
		switch {
		case err == nil:
			return editor.Committed(version)
		case errors.Is(err, platform.ErrConflict):
			return editor.CheckFailed()
		case !errors.Is(err, platform.ErrNotApplied):
			return editor.ReplyLost()
		case time.Now().Add(retryInterval).After(deadline):
			return editor.Unavailable(err)
		}
		time.Sleep(retryInterval)
	}
}

// printResult prints the last step of an edit and returns the error that it ended
// with, if any.
func (a *app) printResult(step table.Step, changes []table.Change) error {
	switch step.Kind {
	case table.StepAccepted:
		return a.printAccepted(step, changes)
	case table.StepConflict:
		return a.printConflicts(step.Conflicts)
	case table.StepUnavailable:
		if step.Uncertain {
			return &exitError{exitPlatform, errors.WithMessage(step.Err,
				"not confirmed: the edit may have been accepted, see siskinctl history once the platform is available")}
		}
		return &exitError{exitPlatform, errors.WithMessage(step.Err, "the edit was not accepted")}
	}
	return step.Err
}

func (a *app) printAccepted(step table.Step, changes []table.Change) error {
	if a.JSON {
		return a.printJSON(acceptedReply{
			Version:   step.Version,
			Unchanged: step.Unchanged,
			Merged:    step.Merged,
			Changes:   changes,
		})
	}
	a.printChanges(changes)
	switch {
	case step.Unchanged:
		a.printf("no change: version %d already contains the edit\n", step.Version)
	case step.Merged:
		a.printf("accepted as version %d, merged with edits made since the base\n", step.Version)
	default:
		a.printf("accepted as version %d\n", step.Version)
	}
	return nil
}

func (a *app) printConflicts(conflicts []table.Conflict) error {
	err := &exitError{exitConflict, errors.New("refused: another edit changed the same rows; compare both and edit again")}
	if a.JSON {
		_ = a.printJSON(conflictReply{conflicts})
		return err
	}
	for _, c := range conflicts {
		a.printf("%s %s\n  base   %s\n  mine   %s\n  theirs %s\n", c.Service, c.Upstream,
			orNoRow(c.Base), orNoRow(c.Mine), orNoRow(c.Theirs))
	}
	return err
}

func orNoRow(row string) string {
	if row == "" {
		return "(no such row)"
	}
	return row
}

// printChanges prints a diff in human-readable form.
func (a *app) printChanges(changes []table.Change) {
	for _, c := range changes {
		a.printf("%s %s %s\n", c.Kind, c.Service, c.Upstream)
		for _, cell := range c.Cells {
			switch c.Kind {
			case table.Added:
				a.printf("  %s %s\n", cell.Column, cell.New)
			case table.Changed:
				a.printf("  %s %s -> %s\n", cell.Column, orEmpty(cell.Old), orEmpty(cell.New))
			}
		}
	}
}

func orEmpty(text string) string {
	if text == "" {
		return "(empty)"
	}
	return text
}

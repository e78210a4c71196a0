package table

import (
	"strconv"

	"github.com/pkg/errors"
)

// MaxCommitAttempts is how often an Editor writes before it gives up.
const MaxCommitAttempts = 16

// HistoryKey returns the key of the row that keeps a version.
func HistoryKey(version uint64) string {
	return HistoryKeyPrefix + strconv.FormatUint(version, 10)
}

// StepKind says what an Editor wants done next.
type StepKind int

// Kinds of Step.
const (
	StepRead        StepKind = iota // read Keys of the platform, then call Editor.Rows
	StepCommit                      // carry out Checks and Puts in one transaction, then Committed, Refused, Lost or Down
	StepAccepted                    // the edit is the version Version; confirmed
	StepConflict                    // refused: another edit changed the same rows; see Conflicts
	StepInvalid                     // refused: the merged table is at fault; see Err
	StepUnavailable                 // the platform can't be reached; see Err and Uncertain
)

// VersionCheck is a condition of a transaction: the row has that version, 0 for
// an absent one.
type VersionCheck struct {
	Key     string
	Version uint64
}

// Put is a row to write.
type Put struct {
	Key   string
	Value string
}

// PlatformRow is a row as read of the platform; version 0 for an absent one.
type PlatformRow struct {
	Key     string
	Value   string
	Version uint64
}

// Step is what an Editor wants done next, or how its edit ended.
type Step struct {
	Kind      StepKind
	Keys      []string       // for StepRead
	Checks    []VersionCheck // for StepCommit
	Puts      []Put          // for StepCommit
	Version   uint64         // for StepAccepted
	Unchanged bool           // for StepAccepted: the table held all of the edit already
	Merged    bool           // for StepAccepted: others' edits since the base are kept
	Conflicts []Conflict     // for StepConflict
	Err       error          // for StepFault and StepDown
	Uncertain bool           // for StepDown: the edit may have been accepted, or may be yet
}

// Editor commits one edit of the table. It is a state machine: Start, and then
// the outcome of each Step, give the next one. An edit is accepted only once the
// platform has confirmed it; a lost reply is settled by reading back. Exported
// fields are set before Start.
type Editor struct {
	EditID string // random, chosen for this edit
	Author string
	Time   string // RFC 3339
	Base   *Table // the version that the edit started from; its Version counts
	Mine   *Table // what Base was edited to

	tries     int
	uncertain bool   // a commit's reply was lost and not settled yet
	checked   uint64 // version that the last commit built on
	merged    bool
}

// Start returns the first step.
func (e *Editor) Start() Step { return Step{Kind: StepRead, Keys: []string{RowKey}} }

// RowsRead takes the rows of a StepRead.
func (e *Editor) RowsRead(rows []PlatformRow) Step {
	current, mine := PlatformRow{Key: RowKey}, PlatformRow{}
	for _, r := range rows {
		switch r.Key {
		case RowKey:
			current = r
		case HistoryKey(e.checked + 1):
			mine = r
		}
	}
	if e.uncertain && current.Version > e.checked {
		e.uncertain = false
		if row, err := DecodeRow(mine.Value); err == nil && row.EditID == e.EditID {
			return Step{Kind: StepAccepted, Version: e.checked + 1, Merged: e.merged}
		}
	}
	return e.build(current)
}

// Committed takes a transaction's success: the new version of the table's row.
func (e *Editor) Committed(version uint64) Step {
	e.uncertain = false
	return Step{Kind: StepAccepted, Version: version, Merged: e.merged}
}

// CheckFailed says that a check of the transaction failed. The cause may be this very
// edit, when the reply to an earlier try was lost on the way.
func (e *Editor) CheckFailed() Step { return e.readBack() }

// ReplyLost says that the reply to a transaction was lost: it may have been applied,
// or be applied later.
func (e *Editor) ReplyLost() Step { return e.readBack() }

// Unavailable says that the platform can't be reached for the last step.
func (e *Editor) Unavailable(cause error) Step {
	return Step{Kind: StepUnavailable, Err: errors.WithMessage(cause, "platform"), Uncertain: e.uncertain}
}

func (e *Editor) readBack() Step {
	e.uncertain = true
	return Step{Kind: StepRead, Keys: []string{RowKey, HistoryKey(e.checked + 1)}}
}

// build returns the commit of the edit on top of the current row. Trying again on
// the version of a commit whose reply was lost is safe: only one of both can pass
// the check, and both write the same edit.
func (e *Editor) build(current PlatformRow) Step {
	if e.tries == MaxCommitAttempts {
		return e.Unavailable(errors.Errorf("gave up after %d tries, as the table changes too often; try again", MaxCommitAttempts))
	}
	e.tries++
	next, stop := e.rebase(current)
	if stop != nil {
		return *stop
	}
	row := EncodeRow(RowValue{EditID: e.EditID, Author: e.Author, Time: e.Time, CSV: string(Format(next))})
	e.checked = current.Version
	history := HistoryKey(current.Version + 1)
	return Step{
		Kind:   StepCommit,
		Checks: []VersionCheck{{RowKey, current.Version}, {history, 0}},
		Puts:   []Put{{RowKey, row}, {history, row}},
	}
}

// rebase returns the table to commit on top of the current row, or the step that
// ends the edit.
func (e *Editor) rebase(current PlatformRow) (next *Table, stop *Step) {
	if err := Check(e.Mine); err != nil {
		return nil, &Step{Kind: StepInvalid, Err: err}
	}
	if base := versionOf(e.Base); current.Version < base {
		err := errors.Errorf("the platform has version %d, below the base %d; restore the platform", current.Version, base)
		return nil, &Step{Kind: StepInvalid, Err: err}
	}
	if current.Version == versionOf(e.Base) {
		e.merged = false
		if len(Diff(e.Base, e.Mine)) == 0 && current.Version > 0 {
			return nil, &Step{Kind: StepAccepted, Version: current.Version, Unchanged: true}
		}
		return e.Mine, nil
	}
	theirs, err := parseCurrent(current)
	if err != nil {
		return nil, &Step{Kind: StepInvalid, Err: err}
	}
	next, conflicts := Merge(e.Base, e.Mine, theirs)
	if len(conflicts) > 0 {
		return nil, &Step{Kind: StepConflict, Conflicts: conflicts}
	}
	if len(Diff(theirs, next)) == 0 {
		return nil, &Step{Kind: StepAccepted, Version: current.Version, Unchanged: true}
	}
	if err := Check(next); err != nil {
		return nil, &Step{Kind: StepInvalid, Err: errors.WithMessage(err, "merged with the edits since")}
	}
	e.merged = true
	return next, nil
}

// parseCurrent reads the platform's row, in which nothing may be at fault: what
// can't be read can't be merged.
func parseCurrent(current PlatformRow) (t *Table, err error) {
	defer func() { err = errors.WithMessagef(err, "version %d in the platform", current.Version) }()
	if current.Version == 0 {
		return nil, nil
	}
	row, err := DecodeRow(current.Value)
	if err != nil {
		return nil, err
	}
	t, err = Parse([]byte(row.CSV))
	if err != nil {
		return nil, err
	}
	t.Version = current.Version
	return t, nil
}

func versionOf(t *Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

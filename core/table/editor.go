package table

import (
	"strconv"

	"github.com/pkg/errors"
)

// MaxCommitAttempts is the number of commits that an Editor attempts before it
// gives up.
const MaxCommitAttempts = 16

// HistoryKey returns the key of the history row that stores the given version.
func HistoryKey(version uint64) string {
	return HistoryKeyPrefix + strconv.FormatUint(version, 10)
}

// StepKind says which action an Editor asks for, or how its edit ended.
type StepKind int

// Kinds of Step.
const (
	StepRead        StepKind = iota // read Keys from the platform, then call Editor.RowsRead or Editor.Unavailable
	StepCommit                      // run Checks and Puts in one transaction, then call Committed, CheckFailed, ReplyLost or Unavailable
	StepAccepted                    // the platform has confirmed the edit as version Version
	StepConflict                    // rejected: another edit changed the same rows; see Conflicts
	StepInvalid                     // rejected: the edit is invalid or the platform's table can't be used; see Err
	StepUnavailable                 // the platform can't be reached or attempts ran out; see Err and Uncertain
)

// VersionCheck is a precondition of a transaction: the row has the given version,
// which is 0 when the row is absent.
type VersionCheck struct {
	Key     string
	Version uint64
}

// Put is a row to write.
type Put struct {
	Key   string
	Value string
}

// PlatformRow is a row as read from the platform. Its version is 0 when it is absent.
type PlatformRow struct {
	Key     string
	Value   string
	Version uint64
}

// Step is the next action that an Editor asks for, or the result of its edit.
type Step struct {
	Kind      StepKind
	Keys      []string       // for StepRead
	Checks    []VersionCheck // for StepCommit
	Puts      []Put          // for StepCommit
	Version   uint64         // for StepAccepted
	Unchanged bool           // for StepAccepted: the table already had every change of the edit
	Merged    bool           // for StepAccepted: merged with edits made since the base
	Conflicts []Conflict     // for StepConflict
	Err       error          // for StepInvalid and StepUnavailable
	Uncertain bool           // for StepUnavailable: the edit may have been accepted, or may still be
}

// Editor commits one edit of the table. It is a state machine without I/O: Start
// returns the first Step, and reporting the outcome of a Step returns the next.
// An edit counts as accepted only once the platform has confirmed it. When a reply
// is lost, the Editor reads the rows back to find out whether the edit was applied.
// Exported fields must be set before Start.
type Editor struct {
	EditID string // random id of this edit
	Author string
	Time   string // RFC 3339
	Base   *Table // the table that the edit started from, with its Version
	Mine   *Table // Base with the edit applied

	attempts       int
	uncertain      bool   // the reply to a commit was lost, and whether it was applied is not known yet
	checkedVersion uint64 // version of the table's row that the last commit requires
	merged         bool
}

// Start returns the first step.
func (e *Editor) Start() Step { return Step{Kind: StepRead, Keys: []string{RowKey}} }

// RowsRead reports the rows read for a StepRead.
func (e *Editor) RowsRead(rows []PlatformRow) Step {
	current, history := PlatformRow{Key: RowKey}, PlatformRow{}
	for _, r := range rows {
		switch r.Key {
		case RowKey:
			current = r
		case HistoryKey(e.checkedVersion + 1):
			history = r
		}
	}
	if e.uncertain && current.Version > e.checkedVersion {
		e.uncertain = false
		if row, err := DecodeRow(history.Value); err == nil && row.EditID == e.EditID {
			return Step{Kind: StepAccepted, Version: e.checkedVersion + 1, Merged: e.merged}
		}
	}
	return e.commitStep(current)
}

// Committed reports that a transaction succeeded, with the new version of the
// table's row.
func (e *Editor) Committed(version uint64) Step {
	e.uncertain = false
	return Step{Kind: StepAccepted, Version: version, Merged: e.merged}
}

// CheckFailed reports that a check of the transaction failed. The cause may be this
// edit itself, applied by an earlier attempt whose reply was lost.
func (e *Editor) CheckFailed() Step { return e.readBack() }

// ReplyLost reports that the reply to a transaction was lost: the transaction may
// have been applied, or may be applied later.
func (e *Editor) ReplyLost() Step { return e.readBack() }

// Unavailable reports that the platform can't be reached for the last step.
func (e *Editor) Unavailable(cause error) Step {
	return Step{Kind: StepUnavailable, Err: errors.WithMessage(cause, "platform"), Uncertain: e.uncertain}
}

// readBack returns the step that finds out whether the last commit was applied.
func (e *Editor) readBack() Step {
	e.uncertain = true
	return Step{Kind: StepRead, Keys: []string{RowKey, HistoryKey(e.checkedVersion + 1)}}
}

// commitStep returns the step that commits the edit on top of the current row. It
// is safe to retry on the same version after a lost reply: only one of the two
// transactions can pass the version check, and both write the same edit.
func (e *Editor) commitStep(current PlatformRow) Step {
	if e.attempts == MaxCommitAttempts {
		return e.Unavailable(errors.Errorf("gave up after %d attempts because the table changes too often; try again", MaxCommitAttempts))
	}
	e.attempts++
	next, stop := e.rebase(current)
	if stop != nil {
		return *stop
	}
	row := EncodeRow(RowValue{EditID: e.EditID, Author: e.Author, Time: e.Time, CSV: string(Format(next))})
	e.checkedVersion = current.Version
	history := HistoryKey(current.Version + 1)
	return Step{
		Kind:   StepCommit,
		Checks: []VersionCheck{{RowKey, current.Version}, {history, 0}},
		Puts:   []Put{{RowKey, row}, {history, row}},
	}
}

// rebase returns the table to commit on top of the current row, or the step with
// which the edit ends.
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

// parseCurrent parses the platform's row. Any validation error is fatal, because
// rows that can't be parsed can't be merged.
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

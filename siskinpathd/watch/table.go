package watch

import (
	"bytes"
	"log/slog"
	"sync"

	"siskinpath/core/revision"
)

// Row is a row of a table as stored.
type Row struct {
	Key     string
	Value   []byte
	Removed bool
	// Missing is set, together with Removed, when the removal was inferred because
	// a full read no longer contained the row.
	Missing  bool
	Revision revision.Revision

	lost bool // see DecodedRow.Lost
}

// Update is a set of changes to a table, or its full content.
type Update struct {
	Table    string
	Revision revision.Revision // of the store, after the update
	Base     revision.Revision // revision of the store that the changes start from; not used with Full
	Full     bool              // Rows is the full content of the table
	Rows     []Row
}

// DecodedRow is a Row with its decoded value.
type DecodedRow[T any] struct {
	Key     string
	Value   T
	Removed bool
	Missing bool // see Row.Missing
	// Lost is set, together with Missing, when the store has come back from an older copy
	// and the row has not been seen since: its writer may not have removed it.
	Lost bool
	// DecodeErr is the reason why the value could not be decoded. Value is then not
	// set.
	DecodeErr error
	Revision  revision.Revision
}

// Table is this host's replica of a table of the store. Updates may come from the
// store or from other hosts. Set the exported fields before use. A Table is safe
// for concurrent use.
type Table[T any] struct {
	Name   string
	Log    *slog.Logger
	Decode func(key string, value []byte) (T, error)
	// Apply is called with the rows that have changed, while the table is locked.
	// The first call may have none.
	Apply func(rows []DecodedRow[T])
	// OnChange is called before Apply, while the table is locked, with the revision
	// of each change. It may be nil.
	OnChange func(at revision.Revision)
	// OnNewEra is called before OnChange, while the table is locked, when the store
	// has come back from an older copy. It may be nil.
	OnNewEra func(from, to revision.Revision)

	mu       sync.Mutex
	revision revision.Revision
	known    bool
	rows     map[string]Row
	removed  map[string]Row    // removed rows, with the revisions of their removal
	changed  revision.Revision // revision of the newest change
	since    revision.Revision // oldest revision after which removed is complete
}

// maxRemoved is the number of removed rows that are kept, so that a host that is
// not far behind can be sent the changes only.
const maxRemoved = 1000

// Replica is a Table of any row type.
type Replica interface {
	// Merge adds an update from the store or from another host. An update that is
	// no newer than the known revision is ignored. Merge returns false when the
	// update leaves a gap: changes before it are missing.
	Merge(u Update) bool
	// ChangesSince returns the changes after a revision, or the full table when
	// those are no longer known. ok is false before the first update.
	ChangesSince(after revision.Revision) (u Update, ok bool)
	// Revision returns the revision of the store up to which the table is known.
	Revision() (at revision.Revision, known bool)
	// LastChange returns the revision of the newest known change of this table.
	// The version of the store also rises with changes of other tables.
	LastChange() (at revision.Revision, known bool)
}

// Revision returns the revision of the store up to which the table is known.
func (t *Table[T]) Revision() (at revision.Revision, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.known
}

// LastChange returns the revision of the newest known change.
func (t *Table[T]) LastChange() (at revision.Revision, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed, t.known
}

// ChangesSince returns the changes after a revision, or the full table.
func (t *Table[T]) ChangesSince(after revision.Revision) (u Update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u = Update{Table: t.Name, Revision: t.revision, Base: after, Full: after.Before(t.since)}
	for _, r := range t.rows {
		if u.Full || after.Before(r.Revision) {
			u.Rows = append(u.Rows, r)
		}
	}
	for _, r := range t.removed {
		if !u.Full && after.Before(r.Revision) {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, t.known
}

// Merge adds an update; see Replica.
func (t *Table[T]) Merge(u Update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.known && !t.revision.Before(u.Revision):
		return true
	case !u.Full && (!t.known || t.revision.Before(u.Base) || t.revision.Era != u.Revision.Era):
		return false
	}
	first, newEra := !t.known, t.known && t.revision.Era != u.Revision.Era
	if first {
		t.rows, t.removed = map[string]Row{}, map[string]Row{}
		t.since = u.Revision
	}
	if newEra && t.OnNewEra != nil {
		t.OnNewEra(t.revision, u.Revision)
	}
	changed := t.storeRows(u)
	t.revision, t.known = u.Revision, true
	if newEra || len(t.removed) > maxRemoved {
		t.removed, t.since = map[string]Row{}, t.revision
	}
	if len(changed) == 0 && !first && !newEra {
		return true
	}
	t.changed = t.revision
	if t.OnChange != nil {
		t.OnChange(t.changed)
	}
	t.Apply(t.decode(changed))
	return true
}

// storeRows stores the rows of an update and returns those that have changed.
// Rows that a full update does not contain are stored as removed.
func (t *Table[T]) storeRows(u Update) (changed []Row) {
	present := map[string]bool{}
	for _, r := range u.Rows {
		present[r.Key] = true
		old, ok := t.rows[r.Key]
		if ok && !old.Revision.Before(r.Revision) || !u.Full && !t.revision.Before(r.Revision) {
			continue // already received from another host, or not changed
		}
		t.storeRow(r)
		if ok && !r.Removed && bytes.Equal(old.Value, r.Value) && old.Revision.Era != r.Revision.Era {
			continue // same in a new era; in the same era its writer has written it again
		}
		changed = append(changed, r)
	}
	if !u.Full {
		return changed
	}
	for key, old := range t.rows {
		if !present[key] {
			r := Row{Key: key, Removed: true, Missing: true, Revision: u.Revision}
			t.storeRow(r)
			r.lost = old.Revision.Era != r.Revision.Era
			changed = append(changed, r)
		}
	}
	return changed
}

func (t *Table[T]) storeRow(r Row) {
	if r.Removed {
		delete(t.rows, r.Key)
		t.removed[r.Key] = r
		return
	}
	t.rows[r.Key] = r
	delete(t.removed, r.Key)
}

func (t *Table[T]) decode(rows []Row) []DecodedRow[T] {
	out := make([]DecodedRow[T], 0, len(rows))
	for _, r := range rows {
		d := DecodedRow[T]{Key: r.Key, Removed: r.Removed, Missing: r.Missing, Lost: r.lost, Revision: r.Revision}
		if !r.Removed {
			d.Value, d.DecodeErr = t.Decode(r.Key, r.Value)
		}
		if d.DecodeErr != nil {
			t.Log.Warn("row can't be read", "table", t.Name, "key", r.Key, "version", r.Revision.Version, "era", r.Revision.Era, "err", d.DecodeErr)
		}
		out = append(out, d)
	}
	return out
}

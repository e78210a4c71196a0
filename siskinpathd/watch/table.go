package watch

import (
	"log/slog"
	"sync"
)

// Row is a row of a table as stored.
type Row struct {
	Key     string
	Value   []byte
	Removed bool
	// Missing is set, together with Removed, when the removal was inferred because
	// a full read no longer contained the row.
	Missing bool
	Version int64
}

// Update is a set of changes to a table, or its full content.
type Update struct {
	Table   string
	Version int64 // of the store, after the update
	Base    int64 // version of the store that the changes start from; not used with Full
	Full    bool  // Rows is the full content of the table
	Rows    []Row
}

// DecodedRow is a Row with its decoded value.
type DecodedRow[T any] struct {
	Key     string
	Value   T
	Removed bool
	Missing bool // see Row.Missing
	// DecodeErr is the reason why the value could not be decoded. Value is then not
	// set.
	DecodeErr error
	Version   int64
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
	// OnChange is called before Apply, while the table is locked, with the version
	// of each change. It may be nil.
	OnChange func(version int64)

	mu      sync.Mutex
	version int64
	known   bool
	rows    map[string]Row
	removed map[string]Row // removed rows, with the versions of their removal
	changed int64          // version of the newest change
	since   int64          // oldest version after which removed is complete
}

// maxRemoved is the number of removed rows that are kept, so that a host that is
// not far behind can be sent the changes only.
const maxRemoved = 1000

// Replica is a Table of any row type.
type Replica interface {
	// Merge adds an update from the store or from another host. An update that is
	// no newer than the known version is ignored. Merge returns false when the
	// update leaves a gap: changes before it are missing.
	Merge(u Update) bool
	// ChangesSince returns the changes after a version, or the full table when
	// those are no longer known. ok is false before the first update.
	ChangesSince(after int64) (u Update, ok bool)
	// Version returns the version of the store up to which the table is known.
	Version() (version int64, known bool)
	// LastChange returns the version of the newest known change of this table.
	// The version of the store also rises with changes of other tables.
	LastChange() (version int64, known bool)
}

// Version returns the version of the store up to which the table is known.
func (t *Table[T]) Version() (version int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.known
}

// LastChange returns the version of the newest known change.
func (t *Table[T]) LastChange() (version int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed, t.known
}

// ChangesSince returns the changes after a version, or the full table.
func (t *Table[T]) ChangesSince(after int64) (u Update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u = Update{Table: t.Name, Version: t.version, Base: after, Full: after < t.since}
	for _, r := range t.rows {
		if u.Full || r.Version > after {
			u.Rows = append(u.Rows, r)
		}
	}
	for _, r := range t.removed {
		if !u.Full && r.Version > after {
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
	case t.known && u.Version <= t.version:
		return true
	case !u.Full && (!t.known || t.version < u.Base):
		return false
	}
	first := !t.known
	if first {
		t.rows, t.removed = map[string]Row{}, map[string]Row{}
		t.since = u.Version
	}
	changed := t.storeRows(u)
	t.version, t.known = u.Version, true
	if len(t.removed) > maxRemoved {
		t.removed, t.since = map[string]Row{}, t.version
	}
	if len(changed) == 0 && !first {
		return true
	}
	t.changed = t.version
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
		if old, ok := t.rows[r.Key]; ok && r.Version <= old.Version || !u.Full && r.Version <= t.version {
			continue // already received from another host, or not changed
		}
		changed = append(changed, r)
		t.storeRow(r)
	}
	if !u.Full {
		return changed
	}
	for key := range t.rows {
		if !present[key] {
			r := Row{Key: key, Removed: true, Missing: true, Version: u.Version}
			changed = append(changed, r)
			t.storeRow(r)
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
		d := DecodedRow[T]{Key: r.Key, Removed: r.Removed, Missing: r.Missing, Version: r.Version}
		if !r.Removed {
			d.Value, d.DecodeErr = t.Decode(r.Key, r.Value)
		}
		if d.DecodeErr != nil {
			t.Log.Warn("row can't be read", "table", t.Name, "key", r.Key, "version", r.Version, "err", d.DecodeErr)
		}
		out = append(out, d)
	}
	return out
}

package watch

import (
	"log/slog"
	"sync"
)

// Row is a row of a table as the store holds it.
type Row struct {
	Key     string
	Value   []byte
	Removed bool
	// Missing says that a whole read did not show the row any more. Removed is set
	// too.
	Missing bool
	Version int64
}

// Update is a change of a table, or all of it.
type Update struct {
	Table   string
	Version int64 // of the store, after the change
	Base    int64 // the version before the change; not used with Whole
	Full    bool  // the rows are all that the table holds
	Rows    []Row
}

// DecodedRow is a row with its decoded value.
type DecodedRow[T any] struct {
	Key     string
	Value   T
	Removed bool
	Missing bool // removed because a whole read did not show it
	// DecodeErr says why the value could not be decoded. Value is not set then.
	DecodeErr error
	Version   int64
}

// Table is what a host knows of a table of the store, from whoever told it. Set
// the fields before use. Safe for concurrent use.
type Table[T any] struct {
	Name   string
	Log    *slog.Logger
	Decode func(key string, value []byte) (T, error)
	// Apply takes in rows that have changed. The first time there may be none.
	Apply func(rows []DecodedRow[T])
	// OnChange is told of each change, with its version.
	OnChange func(version int64)

	mu      sync.Mutex
	version int64
	known   bool
	rows    map[string]Row
	removed map[string]Row // with the versions at which rows went
	changed int64          // version of the newest change
	since   int64          // version from which removed is complete
}

// keepRemoved is how many removed rows are remembered, so that a host that is not
// far behind gets only what has changed.
const keepRemoved = 1000

// Replica is a Table of any type.
type Replica interface {
	// Merge takes in an update, from the store or from another host. One that is
	// not newer than what is known is passed over. It is false when changes are
	// missing before this one.
	Merge(u Update) bool
	// ChangesSince returns what has changed after a version, or the whole table when that
	// can't be known. It is false before anything was taken in.
	ChangesSince(after int64) (u Update, ok bool)
	// Version returns the store's version up to which the table is known.
	Version() (version int64, known bool)
	// LastChange returns the version of the newest change of the table that is
	// known. The store's version rises with other tables too.
	LastChange() (version int64, known bool)
}

// Version returns the store's version up to which the table is known.
func (t *Table[T]) Version() (version int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.known
}

// LastChange returns the version of the newest change that is known.
func (t *Table[T]) LastChange() (version int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed, t.known
}

// ChangesSince returns what has changed after a version, or the whole table.
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

// Merge takes in an update.
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
	fresh := t.fresh(u)
	t.version, t.known = u.Version, true
	if len(t.removed) > keepRemoved {
		t.removed, t.since = map[string]Row{}, t.version
	}
	if len(fresh) == 0 && !first {
		return true
	}
	t.changed = t.version
	if t.OnChange != nil {
		t.OnChange(t.changed)
	}
	t.Apply(t.decode(fresh))
	return true
}

// fresh takes over the rows of an update and returns those that are new here.
func (t *Table[T]) fresh(u Update) (fresh []Row) {
	shown := map[string]bool{}
	for _, r := range u.Rows {
		shown[r.Key] = true
		if old, held := t.rows[r.Key]; held && r.Version <= old.Version || !u.Full && r.Version <= t.version {
			continue // came from another host before, or has not changed
		}
		fresh = append(fresh, r)
		t.keep(r)
	}
	if !u.Full {
		return fresh
	}
	for key := range t.rows {
		if !shown[key] {
			r := Row{Key: key, Removed: true, Missing: true, Version: u.Version}
			fresh = append(fresh, r)
			t.keep(r)
		}
	}
	return fresh
}

func (t *Table[T]) keep(r Row) {
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

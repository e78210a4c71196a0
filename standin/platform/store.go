// Package platform simulates the platform: a table service with transactions, an
// object store and a host list that readers see with a delay. Faults can be set
// while it runs.
package platform

import (
	"maps"
	"sync"
)

// Row is a row of the table service. An absent row has version 0.
type Row struct {
	Key     string
	Value   string
	Version uint64
}

// Check requires that a row has a version; 0 requires that it is absent.
type Check struct {
	Key     string
	Version uint64
}

// Put writes a value to a row.
type Put struct {
	Key   string
	Value string
}

// Transaction is a set of changes that is applied atomically if all its checks hold.
type Transaction struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Store holds the rows and the objects. The zero value is an empty store.
type Store struct {
	mu      sync.Mutex
	rows    map[string]storedRow
	objects map[string][]byte
	era     uint64               // how often Restore was called
	copied  map[string]storedRow // rows as of the last Copy
}

// storedRow is kept after a delete, so that the version of a key never decreases.
type storedRow struct {
	value   string
	version uint64
	present bool
}

func (r storedRow) row(key string) Row {
	if !r.present {
		return Row{Key: key}
	}
	return Row{Key: key, Value: r.value, Version: r.version}
}

// Read returns the rows with the given keys, in the same order.
func (s *Store) Read(keys []string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, s.rows[key].row(key))
	}
	return rows
}

// Apply applies t. It returns true and the written rows, or false and the rows whose
// checks failed.
func (s *Store) Apply(t Transaction) (bool, []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed := s.failedChecks(t.Checks); len(failed) > 0 {
		return false, failed
	}
	if s.rows == nil {
		s.rows = map[string]storedRow{}
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	written := make([]Row, 0, len(t.Puts))
	for _, p := range t.Puts {
		r := storedRow{value: p.Value, version: s.rows[p.Key].version + 1, present: true}
		s.rows[p.Key] = r
		written = append(written, r.row(p.Key))
	}
	return true, written
}

func (s *Store) failedChecks(checks []Check) []Row {
	var failed []Row
	for _, c := range checks {
		if r := s.rows[c.Key].row(c.Key); r.Version != c.Version {
			failed = append(failed, r)
		}
	}
	return failed
}

func (s *Store) delete(key string) {
	r, ok := s.rows[key]
	if !ok {
		return
	}
	r.present = false
	r.value = ""
	s.rows[key] = r
}

// Copy keeps a copy of the rows for Restore.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = maps.Clone(s.rows)
}

// Restore replaces the rows by the last copy and begins a new era: what was committed
// since then is gone, and its versions are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(s.copied)
	s.era++
}

// Era returns the number of times that the rows were restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// PutObject stores a copy of value under name.
func (s *Store) PutObject(name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[name] = append([]byte(nil), value...)
}

// Object returns the object with the given name and whether it exists.
func (s *Store) Object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	return value, ok
}

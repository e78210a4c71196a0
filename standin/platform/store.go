// Package platform plays the platform: a table service with transactions, an
// object store and a host list that lags. Faults are set while it runs.
package platform

import "sync"

// Row is a row of the table service. An absent row has version 0.
type Row struct {
	Key     string
	Value   string
	Version uint64
}

// Check demands that a row has a version; 0 demands that it is absent.
type Check struct {
	Key     string
	Version uint64
}

// Put writes a value to a row.
type Put struct {
	Key   string
	Value string
}

// Transaction is applied whole when all its checks hold, or not at all.
type Transaction struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Store holds the rows and the objects. The zero value is empty and ready.
type Store struct {
	mu      sync.Mutex
	rows    map[string]storedRow
	objects map[string][]byte
}

// storedRow outlives a delete, so that the version of a key never falls.
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

// Read returns the rows in the order asked.
func (s *Store) Read(keys []string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, s.rows[key].row(key))
	}
	return rows
}

// Apply carries out t. It returns true and the rows written, or false and the
// rows whose checks failed.
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

// PutObject keeps a copy of value under name.
func (s *Store) PutObject(name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[name] = append([]byte(nil), value...)
}

// Object returns the object called name and whether there is one.
func (s *Store) Object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	return value, ok
}

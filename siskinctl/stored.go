package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/table"
	"siskinpath/siskinctl/platform"
)

// retryPause is the time between two tries to reach the platform.
const retryPause = 200 * time.Millisecond

// stored is a version of the table as the platform holds it.
type stored struct {
	Version  uint64
	Row      table.RowValue
	Table    *table.Table // nil when there is no sound row in it
	ParseErr error
}

// read reads rows and goes on trying until the timeout.
func (a *app) read(keys ...string) (rows []table.PlatformRow, err error) {
	client, err := a.platformClient()
	if err != nil {
		return nil, err
	}
	return a.readUntil(client, time.Now().Add(a.Timeout), keys...)
}

func (a *app) readUntil(client *platform.Client, end time.Time, keys ...string) (rows []table.PlatformRow, err error) {
	for {
		rows, err = client.Read(keys...)
		if err == nil || time.Now().Add(retryPause).After(end) {
			return rows, err
		}
		time.Sleep(retryPause)
	}
}

// current reads the newest version. Without a table its version is 0.
func (a *app) current() (s stored, err error) {
	rows, err := a.read(table.RowKey)
	if err != nil {
		return stored{}, err
	}
	return decodeStored(rows[0])
}

// at reads an earlier version, or the newest for 0.
func (a *app) at(version uint64) (s stored, err error) {
	if version == 0 {
		return a.current()
	}
	rows, err := a.read(table.HistoryKey(version))
	if err != nil {
		return stored{}, err
	}
	if rows[0].Version == 0 {
		return stored{}, errors.Errorf("there is no version %d; see siskinctl history", version)
	}
	rows[0].Version = version
	return decodeStored(rows[0])
}

func decodeStored(row table.PlatformRow) (s stored, err error) {
	defer func() { err = errors.WithMessagef(err, "version %d in the platform", row.Version) }()
	s.Version = row.Version
	if row.Version == 0 {
		return s, nil
	}
	s.Row, err = table.DecodeRow(row.Value)
	if err != nil {
		return stored{}, err
	}
	s.Table, s.ParseErr = table.Parse([]byte(s.Row.CSV))
	if s.Table != nil {
		s.Table.Version = row.Version
	}
	return s, nil
}

// sound returns the table, or an error when anything in it is at fault.
func (s stored) sound() (*table.Table, error) {
	if s.Version > 0 && s.ParseErr != nil {
		return nil, errors.WithMessagef(s.ParseErr, "version %d in the platform", s.Version)
	}
	return s.Table, nil
}

// String returns one line for people.
func (s stored) String() string {
	if s.Version == 0 {
		return "there is no table yet"
	}
	return fmt.Sprintf("version %d by %s at %s", s.Version, s.Row.Author, s.Row.Time)
}

// parseFile reads and checks a table from a file.
func parseFile(path string) (t *table.Table, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return table.Parse(text)
}

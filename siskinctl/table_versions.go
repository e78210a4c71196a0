package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/table"
	"siskinpath/siskinctl/platform"
)

// retryInterval is the pause between two attempts to reach the platform.
const retryInterval = 200 * time.Millisecond

// storedVersion is a version of the table as stored in the platform.
type storedVersion struct {
	Version  uint64
	Row      table.RowValue
	Table    *table.Table // the valid rows; nil if there are none
	ParseErr error
}

// readRows reads rows and retries until the timeout.
func (a *app) readRows(keys ...string) (rows []table.PlatformRow, err error) {
	client, err := a.platformClient()
	if err != nil {
		return nil, err
	}
	return a.readRowsUntil(client, time.Now().Add(a.Timeout), keys...)
}

// readRowsUntil reads rows and retries until the deadline.
func (a *app) readRowsUntil(client *platform.Client, deadline time.Time, keys ...string) (rows []table.PlatformRow, err error) {
	for {
		rows, err = client.Read(keys...)
		if err == nil || time.Now().Add(retryInterval).After(deadline) {
			return rows, err
		}
		time.Sleep(retryInterval)
	}
}

// readNewest returns the newest version. Its Version is 0 if there is no table yet.
func (a *app) readNewest() (s storedVersion, err error) {
	rows, err := a.readRows(table.RowKey)
	if err != nil {
		return storedVersion{}, err
	}
	return decodeVersion(rows[0])
}

// readVersion returns a version from the history, or the newest version if version is 0.
func (a *app) readVersion(version uint64) (s storedVersion, err error) {
	if version == 0 {
		return a.readNewest()
	}
	rows, err := a.readRows(table.HistoryKey(version))
	if err != nil {
		return storedVersion{}, err
	}
	if rows[0].Version == 0 {
		return storedVersion{}, errors.Errorf("there is no version %d; see siskinctl history", version)
	}
	rows[0].Version = version
	return decodeVersion(rows[0])
}

func decodeVersion(row table.PlatformRow) (s storedVersion, err error) {
	defer func() { err = errors.WithMessagef(err, "version %d in the platform", row.Version) }()
	s.Version = row.Version
	if row.Version == 0 {
		return s, nil
	}
	s.Row, err = table.DecodeRow(row.Value)
	if err != nil {
		return storedVersion{}, err
	}
	s.Table, s.ParseErr = table.Parse([]byte(s.Row.CSV))
	if s.Table != nil {
		s.Table.Version = row.Version
	}
	return s, nil
}

// validTable returns the table, or an error if any row of it is invalid.
func (s storedVersion) validTable() (*table.Table, error) {
	if s.Version > 0 && s.ParseErr != nil {
		return nil, errors.WithMessagef(s.ParseErr, "version %d in the platform", s.Version)
	}
	return s.Table, nil
}

// String describes the version in one line.
func (s storedVersion) String() string {
	if s.Version == 0 {
		return "there is no table yet"
	}
	return fmt.Sprintf("version %d by %s at %s", s.Version, s.Row.Author, s.Row.Time)
}

// parseFile reads and validates a table file.
func parseFile(path string) (t *table.Table, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return table.Parse(text)
}

package table

import (
	"slices"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// Follower decides which version of the table a host has in force. The version
// only increases. A host that has no table yet, for example after a restart, uses
// a peer's copy only when no newer version can have been in force on this host
// before: either the platform has answered, or a majority of the other listed hosts
// have reported their versions. Exported fields must be set before the first use.
type Follower struct {
	Self string // id of this host, which doesn't count for the majority

	table            *Table
	value            string           // value of the row in force, byte for byte as in the platform
	validationErrors ValidationErrors // of the table in force
	appliedAt        clock.Millis

	platformAnswered bool // since the process started
	platformVersion  uint64
	listedHosts      []string          // ids in the platform's host list
	members          []string          // ids in the newest assignment
	reported         map[string]uint64 // newest version that each host reported of itself
	relayedVersion   uint64            // newest version that one host reported of another
	pending          *rowCopy          // newest copy from a peer, until it is safe to apply
	counts           FollowerCounts
}

// rowCopy is a decoded version of the row, read from the platform or a peer.
type rowCopy struct {
	version          uint64
	value            string
	table            *Table
	validationErrors ValidationErrors
}

// FollowerCounts holds the counters of a Follower since the process started.
type FollowerCounts struct {
	VersionsApplied      int `json:"moves"`               // versions put in force
	AppliedFromPeers     int `json:"from_peers"`          // versions put in force from a peer's copy
	CorruptValues        int `json:"corrupt_values"`      // values rejected because they can't be decoded
	VersionRegressions   int `json:"versions_went_down"`  // reads rejected because the platform's version is below the one in force
	CopiesDeferred       int `json:"copies_held_back"`    // copies not applied on arrival, as a newer version may have been in force before
	CopiesStale          int `json:"copies_outdated"`     // copies ignored because they are not newer than the version in force
	RowsSkipped          int `json:"rows_left_out"`       // validation errors in versions put in force
	PlatformTableMissing int `json:"platform_table_gone"` // reads rejected because the platform has no table although one is in force
}

// FollowerState is the state of a Follower, for display.
type FollowerState struct {
	Version          uint64            `json:"version"` // in force; 0 when there is none
	AppliedAt        clock.Millis      `json:"moved_at_ms"`
	PlatformAnswered bool              `json:"platform_answered"`
	PlatformVersion  uint64            `json:"platform_version"`
	NewestReported   uint64            `json:"newest_heard"`
	DeferredVersion  uint64            `json:"held_back"` // version of the pending copy; 0 when there is none
	ValidationErrors []ValidationError `json:"faults"`    // in the version in force
	Counts           FollowerCounts    `json:"counts"`
}

// InForce returns the table in force, or nil when there is none. The table is
// immutable.
func (f *Follower) InForce() *Table { return f.table }

// Version returns the version in force, or 0 when there is none.
func (f *Follower) Version() uint64 {
	if f.table == nil {
		return 0
	}
	return f.table.Version
}

// Row returns the version and the value of the row in force, byte for byte as in
// the platform, for peers to copy.
func (f *Follower) Row() (version uint64, value string) { return f.Version(), f.value }

// PlatformRead reports the result of reading the row from the platform. With ok,
// value is the row's value at version, and version 0 means that there is no row.
// Without ok, only the version is known, and version 0 means that the read failed.
func (f *Follower) PlatformRead(now clock.Millis, version uint64, value string, ok bool) (err error) {
	defer func() { err = errors.WithMessage(err, "table from the platform") }()
	if !ok && version == 0 {
		return nil
	}
	f.platformAnswered = true
	f.platformVersion = version
	if version < f.Version() {
		return f.rejectRegression(version)
	}
	if ok && version > f.Version() {
		c, err := decodeCopy(version, value)
		if err != nil {
			f.counts.CorruptValues++
			return err
		}
		f.apply(now, c)
	}
	f.applyPending(now)
	return nil
}

// CopyReceived reports a copy of the row received from a peer.
func (f *Follower) CopyReceived(now clock.Millis, fromHost string, version uint64, value string) (err error) {
	defer func() { err = errors.WithMessagef(err, "table from host %s", fromHost) }()
	if version <= f.Version() {
		f.counts.CopiesStale++
		return nil
	}
	c, err := decodeCopy(version, value)
	if err != nil {
		f.counts.CorruptValues++
		return err
	}
	f.VersionReported(now, fromHost, version)
	if f.pending == nil || f.pending.version < version {
		f.pending = c
	}
	f.applyPending(now)
	if f.pending == c {
		f.counts.CopiesDeferred++
	}
	return nil
}

// VersionReported reports which version a host has in force, 0 for none, as that
// host itself told this process. What one host tells about another goes to
// VersionRelayed.
func (f *Follower) VersionReported(now clock.Millis, host string, version uint64) {
	if host == f.Self {
		return
	}
	if f.reported == nil {
		f.reported = map[string]uint64{}
	}
	f.reported[host] = max(f.reported[host], version)
	f.applyPending(now)
}

// VersionRelayed reports that a host, possibly this one, had a version in force, as
// told by another host. The message may be old, sent by a process that was frozen.
// A host without a table must not start below this version, but the message
// doesn't count for the majority.
func (f *Follower) VersionRelayed(version uint64) { f.relayedVersion = max(f.relayedVersion, version) }

// SetListedHosts sets the ids of the hosts in the platform's host list.
func (f *Follower) SetListedHosts(ids []string) { f.listedHosts = slices.Clone(ids) }

// SetMembers sets the ids of the hosts in the newest assignment. They replace the
// platform's host list in a process that started while the platform was
// unavailable.
func (f *Follower) SetMembers(now clock.Millis, ids []string) {
	f.members = slices.Clone(ids)
	f.applyPending(now)
}

// CopyToFetch returns the peer that reported the newest version, if that is newer
// than the version in force and the pending copy. Among peers with the same
// version it returns the first by id.
func (f *Follower) CopyToFetch() (host string, version uint64, ok bool) {
	have := f.Version()
	if f.pending != nil {
		have = max(have, f.pending.version)
	}
	for id, v := range f.reported {
		if v > have && (v > version || v == version && id < host) {
			host, version = id, v
		}
	}
	return host, version, host != ""
}

// applyPending puts the pending copy in force if that is safe.
func (f *Follower) applyPending(now clock.Millis) {
	c := f.pending
	if c == nil {
		return
	}
	if c.version <= f.Version() {
		f.pending = nil
		return
	}
	if f.table == nil && !f.safeToStartFrom(c.version) {
		return
	}
	f.pending = nil
	f.counts.AppliedFromPeers++
	f.apply(now, c)
}

// safeToStartFrom reports whether a host without a table may start with version.
func (f *Follower) safeToStartFrom(version uint64) bool {
	if f.platformAnswered {
		return version >= f.platformVersion
	}
	return f.majorityReported() && version >= f.newestReported()
}

// majorityReported reports whether more than half of the other listed hosts have
// reported their versions. An old report still counts, because a host's version
// never decreases.
func (f *Follower) majorityReported() bool {
	hosts := f.listedHosts
	if len(hosts) == 0 {
		hosts = f.members
	}
	others, reported := 0, 0
	for _, id := range hosts {
		if id == f.Self {
			continue
		}
		others++
		if _, ok := f.reported[id]; ok {
			reported++
		}
	}
	return reported*2 > others
}

func (f *Follower) newestReported() (version uint64) {
	version = f.relayedVersion
	for _, v := range f.reported {
		version = max(version, v)
	}
	return version
}

// rejectRegression counts and rejects a read of a version below the one in force.
func (f *Follower) rejectRegression(version uint64) error {
	if version == 0 {
		f.counts.PlatformTableMissing++
		return errors.Errorf("the platform has no row %s; keeping version %d in force; restore the platform", RowKey, f.Version())
	}
	f.counts.VersionRegressions++
	return errors.Errorf("version %d is below %d, which stays in force; restore the platform", version, f.Version())
}

// apply puts a version in force.
func (f *Follower) apply(now clock.Millis, c *rowCopy) {
	f.table = c.table
	f.value = c.value
	f.validationErrors = c.validationErrors
	f.appliedAt = now
	f.counts.VersionsApplied++
	f.counts.RowsSkipped += len(c.validationErrors)
}

// decodeCopy decodes the value of a row. It skips invalid rows of the table and
// returns an error only when no row is valid.
func decodeCopy(version uint64, value string) (c *rowCopy, err error) {
	defer func() { err = errors.WithMessagef(err, "version %d", version) }()
	row, err := DecodeRow(value)
	if err != nil {
		return nil, err
	}
	c = &rowCopy{version: version, value: value}
	t, err := Parse([]byte(row.CSV))
	if t == nil {
		return nil, err
	}
	if err != nil && !errors.As(err, &c.validationErrors) {
		return nil, err
	}
	t.Version = version
	c.table = t
	return c, nil
}

// State returns the follower's state.
func (f *Follower) State() FollowerState {
	s := FollowerState{
		Version:          f.Version(),
		AppliedAt:        f.appliedAt,
		PlatformAnswered: f.platformAnswered,
		PlatformVersion:  f.platformVersion,
		NewestReported:   f.newestReported(),
		ValidationErrors: f.validationErrors,
		Counts:           f.counts,
	}
	if f.pending != nil {
		s.DeferredVersion = f.pending.version
	}
	return s
}

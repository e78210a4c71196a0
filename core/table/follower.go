package table

import (
	"slices"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// Follower decides which version of the table a host has in force. It moves only
// to a higher version. A host with none takes a peer's copy only when it knows
// that no newer version was in force in its place before: the platform has
// answered, or a majority of the listed hosts have told their versions. Exported
// fields are set before the first use.
type Follower struct {
	Self string // this host's id; it has no say in the majority that it needs

	table   *Table
	value   string // of the row in force, as the platform holds it
	faults  ValidationErrors
	movedAt clock.Millis

	answered        bool // the platform has answered since the start
	platformVersion uint64
	listed          []string
	members         []string
	heard           map[string]uint64 // host to the newest version it has told of itself
	relayed         uint64            // newest version that any host had in force, by second-hand news
	copied          *copiedRow        // newest copy of a peer, until it may be taken
	counts          FollowerCounts
}

// copiedRow is a peer's copy of the row.
type copiedRow struct {
	version uint64
	value   string
	table   *Table
	faults  ValidationErrors
}

// FollowerCounts are a Follower's counters since its start.
type FollowerCounts struct {
	VersionsApplied      int `json:"moves"`               // versions put in force
	AppliedFromPeers     int `json:"from_peers"`          // of these, by a peer's copy
	CorruptValues        int `json:"corrupt_values"`      // refused: can't be read
	VersionRegressions   int `json:"versions_went_down"`  // refused: the platform's version is below the one in force
	CopiesDeferred       int `json:"copies_held_back"`    // not yet taken, for want of a majority
	CopiesStale          int `json:"copies_outdated"`     // not newer than the one in force
	RowsSkipped          int `json:"rows_left_out"`       // faults in versions put in force
	PlatformTableMissing int `json:"platform_table_gone"` // the platform says there is no table, though one is in force
}

// FollowerState is a Follower's state for people to read.
type FollowerState struct {
	Version          uint64            `json:"version"` // in force; 0 when none
	AppliedAt        clock.Millis      `json:"moved_at_ms"`
	PlatformAnswered bool              `json:"platform_answered"`
	PlatformVersion  uint64            `json:"platform_version"`
	NewestReported   uint64            `json:"newest_heard"`
	DeferredVersion  uint64            `json:"held_back"` // version of a copy not yet taken; 0 when none
	ValidationErrors []ValidationError `json:"faults"`    // of the version in force
	Counts           FollowerCounts    `json:"counts"`
}

// InForce returns the table in force, nil when there is none. It is never changed.
func (f *Follower) InForce() *Table { return f.table }

// Version returns the version in force, 0 when there is none.
func (f *Follower) Version() uint64 {
	if f.table == nil {
		return 0
	}
	return f.table.Version
}

// Row returns the row in force as the platform holds it, for peers to copy.
func (f *Follower) Row() (version uint64, value string) { return f.Version(), f.value }

// PlatformRead takes the end of a read of the platform. With ok, value is the row's value
// at version, which is 0 when there is no row. Without ok, only the version is
// known, or nothing when that is 0.
func (f *Follower) PlatformRead(now clock.Millis, version uint64, value string, ok bool) (err error) {
	defer func() { err = errors.WithMessage(err, "table from the platform") }()
	if !ok && version == 0 {
		return nil
	}
	f.answered = true
	f.platformVersion = version
	if version < f.Version() {
		return f.wentDown(version)
	}
	if ok && version > f.Version() {
		c, err := decodeCopy(version, value)
		if err != nil {
			f.counts.CorruptValues++
			return err
		}
		f.move(now, c)
	}
	f.tryCopied(now)
	return nil
}

// CopyReceived takes a peer's copy of the row.
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
	if f.copied == nil || f.copied.version < version {
		f.copied = c
	}
	f.tryCopied(now)
	if f.copied == c {
		f.counts.CopiesDeferred++
	}
	return nil
}

// VersionReported takes a host's own word, sent to this process, on which version it has
// in force, 0 for none. What another host says of it goes to Relayed.
func (f *Follower) VersionReported(now clock.Millis, host string, version uint64) {
	if host == f.Self {
		return
	}
	if f.heard == nil {
		f.heard = map[string]uint64{}
	}
	f.heard[host] = max(f.heard[host], version)
	f.tryCopied(now)
}

// VersionRelayed takes second-hand news that a host, this one included, had a version
// in force. It may be old, from a process that was frozen: it shows what a host
// without a table must not begin below, and is no part of the majority.
func (f *Follower) VersionRelayed(version uint64) { f.relayed = max(f.relayed, version) }

// SetListedHosts takes the ids of the hosts in the platform's host list.
func (f *Follower) SetListedHosts(ids []string) { f.listed = slices.Clone(ids) }

// SetMembers takes the ids of the hosts in the newest assignment. They stand in for
// the platform's list in a process that was started while it was away.
func (f *Follower) SetMembers(now clock.Millis, ids []string) {
	f.members = slices.Clone(ids)
	f.tryCopied(now)
}

// CopyToFetch returns a peer to ask for a copy: one that told of a newer version than
// is in force or held here. Of several it is the first by id.
func (f *Follower) CopyToFetch() (host string, version uint64, ok bool) {
	have := f.Version()
	if f.copied != nil {
		have = max(have, f.copied.version)
	}
	for id, v := range f.heard {
		if v > have && (v > version || v == version && id < host) {
			host, version = id, v
		}
	}
	return host, version, host != ""
}

// tryCopied puts a peer's copy in force if that is safe.
func (f *Follower) tryCopied(now clock.Millis) {
	c := f.copied
	if c == nil {
		return
	}
	if c.version <= f.Version() {
		f.copied = nil
		return
	}
	if f.table == nil && !f.mayStartFrom(c.version) {
		return
	}
	f.copied = nil
	f.counts.AppliedFromPeers++
	f.move(now, c)
}

// mayStartFrom reports whether a host without a table may begin with version.
func (f *Follower) mayStartFrom(version uint64) bool {
	if f.answered {
		return version >= f.platformVersion
	}
	return f.majorityHeard() && version >= f.newestHeard()
}

// majorityHeard reports whether more than half of the other listed hosts have
// told their versions. A version once heard stays a lower bound.
func (f *Follower) majorityHeard() bool {
	hosts := f.listed
	if len(hosts) == 0 {
		hosts = f.members
	}
	others, heard := 0, 0
	for _, id := range hosts {
		if id == f.Self {
			continue
		}
		others++
		if _, ok := f.heard[id]; ok {
			heard++
		}
	}
	return heard*2 > others
}

func (f *Follower) newestHeard() (version uint64) {
	version = f.relayed
	for _, v := range f.heard {
		version = max(version, v)
	}
	return version
}

// wentDown refuses a lower version of the platform.
func (f *Follower) wentDown(version uint64) error {
	if version == 0 {
		f.counts.PlatformTableMissing++
		return errors.Errorf("there is no row %s, but version %d is in force and stays; restore the platform", RowKey, f.Version())
	}
	f.counts.VersionRegressions++
	return errors.Errorf("version %d is below %d, which is in force and stays; restore the platform", version, f.Version())
}

// move puts a version in force.
func (f *Follower) move(now clock.Millis, c *copiedRow) {
	f.table = c.table
	f.value = c.value
	f.faults = c.faults
	f.movedAt = now
	f.counts.VersionsApplied++
	f.counts.RowsSkipped += len(c.faults)
}

// decodeCopy reads a row's value. Rows of the table that are at fault are left
// out; the error says that nothing can be served from it.
func decodeCopy(version uint64, value string) (c *copiedRow, err error) {
	defer func() { err = errors.WithMessagef(err, "version %d", version) }()
	row, err := DecodeRow(value)
	if err != nil {
		return nil, err
	}
	c = &copiedRow{version: version, value: value}
	t, err := Parse([]byte(row.CSV))
	if t == nil {
		return nil, err
	}
	if err != nil && !errors.As(err, &c.faults) {
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
		AppliedAt:        f.movedAt,
		PlatformAnswered: f.answered,
		PlatformVersion:  f.platformVersion,
		NewestReported:   f.newestHeard(),
		ValidationErrors: f.faults,
		Counts:           f.counts,
	}
	if f.copied != nil {
		s.DeferredVersion = f.copied.version
	}
	return s
}

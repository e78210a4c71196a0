package overlay

import (
	"math"

	"siskinpath/core/clock"
)

// UnknownAge is the age of a table that the host has never read.
const UnknownAge clock.Millis = math.MaxUint32

// tableAge holds the times as of which a table is known: the host has every change that
// the store had accepted by then.
type tableAge struct {
	byStore   clock.Millis // from own calls to the store; 0 for never
	bySources clock.Millis // from sources; 0 for never
	proven    provenTimes
}

// ConfirmByStore records that the store has told this host every change of a table up
// to a time.
func (o *Overlay) ConfirmByStore(table string, at clock.Millis) {
	t := o.table(table)
	t.byStore = max(t.byStore, at)
}

// ConfirmBySource records that this host has every change of a table that a source had
// at a time, when the source's copy was of an age.
func (o *Overlay) ConfirmBySource(table string, at, age clock.Millis) {
	if age >= UnknownAge {
		return
	}
	t := o.table(table)
	t.bySources = max(t.bySources, at-age)
}

func (o *Overlay) table(name string) *tableAge {
	if o.tables == nil {
		o.tables = map[string]*tableAge{}
	}
	t := o.tables[name]
	if t == nil {
		t = &tableAge{}
		o.tables[name] = t
	}
	return t
}

// TableAge returns the age of this host's copy of a table.
func (o *Overlay) TableAge(now clock.Millis, table string) clock.Millis {
	t := o.table(table)
	if at := max(t.byStore, t.bySources); at > 0 {
		return max(0, now-at)
	}
	return UnknownAge
}

// Age returns the age of the oldest of this host's tables. Before it has read one, the
// age counts from its start.
func (o *Overlay) Age(now clock.Millis) (age clock.Millis) {
	return o.oldest(now, func(t *tableAge) clock.Millis { return max(t.byStore, t.bySources) })
}

// ageBySources returns the age that the oldest table would have without this host's own
// calls to the store.
func (o *Overlay) ageBySources(now clock.Millis) clock.Millis {
	return o.oldest(now, func(t *tableAge) clock.Millis { return t.bySources })
}

func (o *Overlay) oldest(now clock.Millis, knownAsOf func(*tableAge) clock.Millis) (age clock.Millis) {
	for _, name := range o.Tables {
		age = max(age, now-max(knownAsOf(o.table(name)), o.ageFrom))
	}
	return age
}

// tooOld reports whether the sources leave this host's tables so old that it must ask
// the store itself.
func (o *Overlay) tooOld(now clock.Millis, isRelay bool) bool {
	if isRelay {
		return o.ageBySources(now) > o.Spans.RelayAge
	}
	return o.ageBySources(now) > o.Spans.HostAge
}

// NeedsMoreSources reports whether this host should listen to further hosts: neither
// its sources nor the store have told it of changes for some time.
func (o *Overlay) NeedsMoreSources(now clock.Millis) bool {
	return o.Age(now) > o.Spans.MoreSourcesAge
}

// IsLate reports whether this host's tables are so old that it takes changes from any source
// at once.
func (o *Overlay) IsLate(now clock.Millis) bool { return o.Age(now) > o.Spans.BackupAge }

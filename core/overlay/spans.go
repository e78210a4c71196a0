package overlay

import "siskinpath/core/clock"

// Spans are the times that together bound how late an accepted change of the store is
// known to a host that reaches the store. Each host counts the age of its tables: how
// long ago it last had every change that the store had accepted. The bound holds since a
// host asks the store itself before its tables are older than the bound less one call,
// whatever the reason: a store that is silent for its sources, sources that are silent
// themselves, or lost messages.
type Spans struct {
	// Poll is the longest time between two responses of the store to a host that
	// follows it.
	Poll clock.Millis
	// ResponseMargin is how much later a response may come.
	ResponseMargin clock.Millis
	// RelayAge is the age of the tables at which a relay follows the store itself.
	RelayAge clock.Millis
	// HostAge is RelayAge for other hosts, which can still hear from relays that do.
	HostAge clock.Millis
	// MoreSourcesAge is the age of the tables at which a host listens to further hosts.
	MoreSourcesAge clock.Millis
	// BackupAge is the age of the tables at which a relay, or a host that follows the store
	// for others, listens to backups, and at which no host waits for a source of its own
	// availability zone.
	BackupAge clock.Millis
}

const (
	// maxPoll limits Spans.Poll.
	maxPoll = 1200 * clock.Millisecond
	// reactionTime is what Spans leaves for noticing that the tables are too old, for
	// connecting to the store and for one call.
	reactionTime = 600 * clock.Millisecond
	// announcementTime is how long a response of the store may take to be announced to a
	// relay.
	announcementTime = 200 * clock.Millisecond
	// backupDelay is how long the store may take to answer a relay that has begun to follow it.
	backupDelay = 200 * clock.Millisecond
	// moreSourcesDelay is how long a relay may take to read the store and to announce
	// what it has read.
	moreSourcesDelay = 400 * clock.Millisecond
	// MinBound is the smallest bound that NewSpans accepts.
	MinBound = 1000 * clock.Millisecond
	// ampleBound is the smallest bound that leaves time for each step. The spans of
	// smaller bounds are in proportion.
	ampleBound = 2000 * clock.Millisecond
)

// NewSpans returns the spans with which a change is known within bound, which is at
// least MinBound.
func NewSpans(bound clock.Millis) Spans {
	scaled := func(span clock.Millis) clock.Millis { return span * min(bound, ampleBound) / ampleBound }
	poll := min(bound/2, maxPoll)
	relayAge := poll + scaled(announcementTime)
	hostAge := bound - scaled(reactionTime)
	return Spans{
		Poll:           poll,
		ResponseMargin: hostAge - poll,
		RelayAge:       relayAge,
		HostAge:        hostAge,
		MoreSourcesAge: relayAge + scaled(moreSourcesDelay),
		BackupAge:      relayAge + scaled(backupDelay),
	}
}

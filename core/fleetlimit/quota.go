package fleetlimit

import (
	"maps"
	"slices"

	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

const (
	// useSlots is the number of parts into which a Granter divides the window over which
	// it measures use.
	useSlots = 10
	// maxRetryAfter limits how long a Granter tells an asker to stay away beyond the time of
	// the next token. A longer time would leave tokens unused when other askers stop.
	maxRetryAfter = clock.Second
	// slackShare is the part of the slack that the holders grant. The rest covers requests
	// whose tokens come later than usual: those of a window may get tokens of the next one.
	slackShare = 0.7
)

// Allowance is how far requests may exceed a quota over all hosts together, in any window
// of time: by the fraction Overage of the quota, and by Slack requests.
type Allowance struct {
	Overage float64
	Slack   float64
}

// Limit returns what all holders of a quota together may grant.
func (a Allowance) Limit(quota Limit) Limit {
	return Limit{PerSecond: quota.PerSecond * (1 + a.Overage), Burst: quota.Burst*(1+a.Overage) + slackShare*a.Slack}
}

// Share is a holder's share of an organisation's quota.
type Share struct {
	Part      Limit   // what the holder may grant
	PerSecond float64 // the quota without the allowance, divided among the holders
}

// Answer is a holder's answer to a message that asks for tokens.
type Answer struct {
	Granted    int          // tokens
	RetryAfter clock.Millis // from when to ask again; 0 if all were granted
	Used       float64      // fraction of the quota used lately, by this holder's count
	NotHolder  bool         // the host holds no share of the quota; all else is unset
}

// Granter grants this host's shares of organisations' quotas. Set the exported fields
// before the first call.
type Granter struct {
	// Window is the time over which use is measured.
	Window clock.Millis

	shares map[string]*heldShare // by organisation
}

type heldShare struct {
	Share
	bucket   *admit.TokenBucket
	nextTurn clock.Millis // end of the queue of askers that were told to come back
	slots    [useSlots]int
	slotAt   clock.Millis // index of the latest slot since the clock's start
}

// Configure replaces the shares, by organisation. A bucket whose share changes keeps its
// tokens up to the new burst, and a new one starts empty.
func (g *Granter) Configure(now clock.Millis, shares map[string]Share) {
	if g.shares == nil {
		g.shares = map[string]*heldShare{}
	}
	maps.DeleteFunc(g.shares, func(name string, _ *heldShare) bool {
		_, held := shares[name]
		return !held
	})
	for name, share := range shares {
		h := g.shares[name]
		if h == nil {
			g.shares[name] = &heldShare{Share: share, bucket: NewPart(now, share.Part)}
			continue
		}
		if h.Share != share {
			h.Share = share
			h.bucket.Set(now, share.Part.PerSecond, share.Part.Burst)
			h.nextTurn = 0
		}
	}
}

// Grant answers a message that asks for tokens of an organisation, one for each of count
// requests.
func (g *Granter) Grant(now clock.Millis, organisation string, count int) Answer {
	h := g.shares[organisation]
	if h == nil {
		return Answer{NotHolder: true}
	}
	h.advance(now, g.Window)
	a := Answer{}
	for a.Granted < count && h.bucket.Take(now) {
		a.Granted++
	}
	h.slots[h.slotAt%useSlots] += a.Granted
	if a.Granted < count {
		a.RetryAfter = h.turn(now)
	}
	a.Used = h.used(g.Window)
	return a
}

// turn returns how long an asker must wait for its token. Askers that find no token queue
// for those to come: with one time for all of them each would get a refusal for every
// token granted to another.
func (h *heldShare) turn(now clock.Millis) clock.Millis {
	interval := clock.Millis(float64(clock.Second) / h.Part.PerSecond)
	next := h.bucket.NextAt(now)
	h.nextTurn = max(next, min(h.nextTurn+interval, now+maxRetryAfter))
	return max(1, h.nextTurn-now)
}

// advance drops the counts of slots that have left the window.
func (h *heldShare) advance(now, window clock.Millis) {
	at := now / max(1, window/useSlots)
	for i := max(h.slotAt, at-useSlots) + 1; i <= at; i++ {
		h.slots[i%useSlots] = 0
	}
	h.slotAt = max(h.slotAt, at)
}

func (h *heldShare) used(window clock.Millis) float64 {
	granted := 0
	for _, n := range h.slots {
		granted += n
	}
	quota := h.PerSecond * float64(window) / float64(clock.Second)
	if quota <= 0 {
		return 0
	}
	return float64(granted) / quota
}

// Used returns the fraction of each held quota that was used in the last window, by this
// host's count and by organisation.
func (g *Granter) Used(now clock.Millis) map[string]float64 {
	used := map[string]float64{}
	for name, h := range g.shares {
		h.advance(now, g.Window)
		used[name] = h.used(g.Window)
	}
	return used
}

// Held returns the names of the organisations of whose quotas this host holds a share, in
// alphabetical order.
func (g *Granter) Held() []string { return slices.Sorted(maps.Keys(g.shares)) }

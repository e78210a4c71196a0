package idempotency

import (
	"maps"
	"slices"

	"siskinpath/core/clock"
)

// pump carries out the registry's pending claim writes or reads, one transaction
// or one batch of reads at a time.
func (p *process) pump() {
	if p.writing {
		return
	}
	if writes := p.registry.NextClaimWrites(p.f.now); len(writes) > 0 {
		p.writing = true
		p.write(writes)
		return
	}
	if reads := p.registry.NextClaimReads(p.f.now); len(reads) > 0 {
		p.writing = true
		p.read(reads)
	}
}

// results passes the outcomes to the registry and acts on its decisions.
func (p *process) results(outcomes map[RecordID]ClaimOutcome) {
	p.writing = false
	for _, rec := range slices.Sorted(maps.Keys(outcomes)) {
		p.registry.HandleClaimOutcome(p.f.now, rec, outcomes[rec])
	}
	p.settleClaims()
	p.pump()
}

// settleClaims acts on the claims that have a decision.
func (p *process) settleClaims() {
	for _, rec := range slices.Sorted(maps.Keys(p.waiters)) {
		first := p.waiters[rec][0]
		if first.startedFor(rec) {
			continue
		}
		d, ok := p.registry.ClaimDecision(rec)
		if !ok {
			continue
		}
		p.f.trace(scopedKeyOf(first.req), "%s record %d: claim decided %d %s", p.host.id, rec, d.Verdict, d.Reply.Reason)
		switch d.Verdict {
		case Run:
			first.started = rec
			p.run(rec, first)
		case Forward:
			first.started = rec
			p.askClaimant(rec, d, first)
		default:
			p.end(rec, d.Reply)
		}
	}
}

func (p *process) askClaimant(rec RecordID, d Decision, c *call) {
	req := c.req
	req.Mode, req.ClaimRow = ModeClaimed, d.ClaimRow
	p.forward(d.Host, req, c, func(r Reply, givenUp bool) {
		if !givenUp {
			p.end(rec, r)
			return
		}
		p.registry.TakeOver(p.f.now, rec)
		c.started = 0
		p.pump()
	})
}

// write sends a transaction to the platform. The transaction or its reply may be
// lost, and it may be applied after its time-out.
func (p *process) write(writes []ClaimWrite) {
	f := p.f
	all := func(kind ClaimOutcomeKind) map[RecordID]ClaimOutcome {
		m := map[RecordID]ClaimOutcome{}
		for _, w := range writes {
			m[w.Record] = ClaimOutcome{Kind: kind}
		}
		return m
	}
	lost := ClaimReplyLost
	if f.disabled == noReadBack {
		lost = ClaimCommitted
	}
	switch {
	case f.down && f.chance(50):
		p.do(f.randomSpan(1, 5), func() { p.results(all(ClaimPlatformDown)) })
	case f.down:
		p.do(writeTimeout, func() { p.results(all(lost)) })
	case f.chance(20):
		if f.chance(70) {
			f.at(f.randomSpan(1, 4000), func() { f.apply(writes) })
		}
		p.do(writeTimeout, func() { p.results(all(lost)) })
	default:
		f.at(f.randomSpan(1, 8), func() {
			outcomes := f.apply(writes)
			p.do(f.randomSpan(1, 8), func() { p.results(outcomes) })
		})
	}
}

// apply simulates the platform applying a transaction atomically.
func (f *fleet) apply(writes []ClaimWrite) map[RecordID]ClaimOutcome {
	outcomes := map[RecordID]ClaimOutcome{}
	failed := false
	for _, w := range writes {
		if r := f.rows[w.RowKey]; r.version != w.ExpectVersion {
			outcomes[w.Record] = ClaimOutcome{Kind: ClaimTaken, Value: r.value, Version: r.version}
			failed = true
		}
	}
	for _, w := range writes {
		switch _, taken := outcomes[w.Record]; {
		case taken:
		case failed:
			outcomes[w.Record] = ClaimOutcome{Kind: ClaimRetry}
		default:
			version := w.ExpectVersion + 1
			f.rows[w.RowKey] = row{w.Value, version}
			outcomes[w.Record] = ClaimOutcome{Kind: ClaimCommitted, Version: version}
		}
	}
	return outcomes
}

// read sends reads to the platform.
func (p *process) read(reads []ClaimRead) {
	f := p.f
	f.at(f.randomSpan(1, 8), func() {
		outcomes := map[RecordID]ClaimOutcome{}
		for _, r := range reads {
			switch now := f.rows[r.RowKey]; {
			case f.down:
				outcomes[r.Record] = ClaimOutcome{Kind: ClaimPlatformDown}
			case now.version == 0:
				outcomes[r.Record] = ClaimOutcome{Kind: ClaimAbsent}
			default:
				outcomes[r.Record] = ClaimOutcome{Kind: ClaimTaken, Value: now.value, Version: now.version}
			}
		}
		p.do(f.randomSpan(1, clock.Millis(8)), func() { p.results(outcomes) })
	})
}

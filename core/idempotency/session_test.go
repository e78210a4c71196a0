package idempotency

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"siskinpath/core/clock"
)

// session simulates two hosts and the rows of a platform. A script drives it, and
// each decision of the hosts is logged to out.
type session struct {
	now   clock.Millis
	out   bytes.Buffer
	hosts map[string]*KeyRegistry
	rows  map[string]row
	gone  map[uint64]bool
}

var verdictNames = [...]string{"run", "wait", "answer", "pass", "claim", "unknown", "refuse", "invalid"}

func (s *session) logf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%7d  %s\n", s.now, fmt.Sprintf(format, args...))
}

func (s *session) lookup(inc uint64) (string, HostStatus) {
	for id, k := range s.hosts {
		if k.Incarnation == inc {
			return id, Reachable
		}
	}
	if s.gone[inc] {
		return "", Terminated
	}
	return "", NeverSeen
}

// decision logs a decision of a host.
func (s *session) decision(host, key string, d Decision) Decision {
	text := fmt.Sprintf("%s %s: %s", host, key, verdictNames[d.Verdict])
	if d.Host != "" {
		text += " to " + d.Host
	}
	if d.Reply.Reason != "" {
		text += " " + d.Reply.Reason
	}
	if d.Reply.RetryAfter > 0 {
		text += fmt.Sprintf(", again in %d ms", d.Reply.RetryAfter)
	}
	if len(d.Reply.Body) > 0 {
		text += fmt.Sprintf(" %d %q", d.Reply.Status, d.Reply.Body)
	}
	if d.GivenUp {
		text += ", given up"
	}
	s.logf("%s", text)
	return d
}

func (s *session) ask(host, key string, mode Mode, claimRow string) Decision {
	req := Request{
		Service: "payments", Organisation: "farm-7", Key: key, Fingerprint: 1,
		Deadline: s.now + 2*clock.Second, Mode: mode, ClaimRow: claimRow,
	}
	return s.decision(host, key, s.hosts[host].Begin(s.now, req, s.lookup))
}

// run sends a request and records its answer.
func (s *session) run(host string, rec RecordID, answer string) {
	k := s.hosts[host]
	s.logf("%s may send: %v", host, k.MaySend(s.now, rec))
	s.now += 40
	r := k.End(s.now, rec, Reply{Status: 200, Body: []byte(answer)})
	s.logf("%s answers %d %q", host, r.Status, r.Body)
}

// claim carries out a host's pending claim writes. A write without a version
// conflict ends with kind, and takes effect if applied is true.
func (s *session) claim(host string, applied bool, kind ClaimOutcomeKind) {
	k := s.hosts[host]
	for _, w := range k.NextClaimWrites(s.now) {
		s.logf("%s writes %s at version %d: %s", host, w.RowKey, w.ExpectVersion, w.Value)
		out := ClaimOutcome{Kind: kind}
		switch now := s.rows[w.RowKey]; {
		case now.version != w.ExpectVersion:
			out = ClaimOutcome{Kind: ClaimTaken, Value: now.value, Version: now.version}
			s.logf("taken at version %d by %s", now.version, now.value)
		case applied:
			s.rows[w.RowKey] = row{w.Value, w.ExpectVersion + 1}
		}
		k.HandleClaimOutcome(s.now, w.Record, out)
	}
}

func (s *session) readBack(host string) {
	k := s.hosts[host]
	for _, r := range k.NextClaimReads(s.now) {
		now := s.rows[r.RowKey]
		s.logf("%s reads %s back: %s", host, r.RowKey, now.value)
		k.HandleClaimOutcome(s.now, r.Record, ClaimOutcome{Kind: ClaimTaken, Value: now.value, Version: now.version})
	}
}

func (s *session) decided(host, key string, rec RecordID) Decision {
	d, _ := s.hosts[host].ClaimDecision(rec)
	return s.decision(host, key, d)
}

func (s *session) title(text string) { fmt.Fprintf(&s.out, "\n# %s\n", text) }

func TestSession(t *testing.T) {
	s := &session{now: clock.Hour, rows: map[string]row{}, gone: map[uint64]bool{}, hosts: map[string]*KeyRegistry{
		"gh-1": {Incarnation: 0x11, Host: "gh-1"}, "gh-2": {Incarnation: 0x22, Host: "gh-2"},
	}}

	s.title("A key with the prefix of gh-1, and its retry at gh-2.")
	key := s.hosts["gh-1"].Prefix(s.now) + "deposit-1"
	s.run("gh-1", s.ask("gh-1", key, ModeCaller, "").Record, "receipt 1")
	s.ask("gh-2", key, ModeCaller, "")
	s.ask("gh-1", key, ModeDecide, "")

	s.title("A key without a prefix; the reply to the claim's write is lost.")
	d := s.ask("gh-1", "deposit-2", ModeCaller, "")
	s.claim("gh-1", true, ClaimReplyLost)
	s.readBack("gh-1")
	s.decided("gh-1", "deposit-2", d.Record)
	s.run("gh-1", d.Record, "receipt 2")

	s.title("Its retry at gh-2 finds the claim and asks gh-1.")
	d = s.ask("gh-2", "deposit-2", ModeCaller, "")
	s.claim("gh-2", true, ClaimCommitted)
	passed := s.decided("gh-2", "deposit-2", d.Record)
	answer := s.ask("gh-1", "deposit-2", ModeClaimed, passed.ClaimRow)
	s.hosts["gh-2"].End(s.now, d.Record, answer.Reply)

	s.title("The platform goes away after a claim was applied: not run. gh-2 takes the claim over.")
	d = s.ask("gh-1", "deposit-3", ModeCaller, "")
	s.claim("gh-1", true, ClaimPlatformDown)
	s.decided("gh-1", "deposit-3", d.Record)
	d = s.ask("gh-2", "deposit-3", ModeCaller, "")
	s.claim("gh-2", true, ClaimCommitted)
	passed = s.decided("gh-2", "deposit-3", d.Record)
	s.ask("gh-1", "deposit-3", ModeClaimed, passed.ClaimRow)
	s.hosts["gh-2"].TakeOver(s.now, d.Record)
	s.claim("gh-2", true, ClaimCommitted)
	s.decided("gh-2", "deposit-3", d.Record)
	s.run("gh-2", d.Record, "receipt 3")

	s.title("gh-1 is restarted: what only it knew is unknown, finally and at once.")
	s.gone[0x11] = true
	s.hosts["gh-1"] = &KeyRegistry{Incarnation: 0x33, Host: "gh-1"}
	s.ask("gh-2", key, ModeCaller, "")
	s.ask("gh-1", key, ModeCaller, "")
	d = s.ask("gh-1", "deposit-2", ModeCaller, "")
	s.claim("gh-1", true, ClaimCommitted)
	s.decided("gh-1", "deposit-2", d.Record)

	goldie.New(t).Assert(t, "session", s.out.Bytes())
}

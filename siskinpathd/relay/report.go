package relay

import (
	"siskinpath/core/clock"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

// receipt is the last update from another host that changed a table.
type receipt struct {
	at    revision.Revision
	from  string
	bytes int
	time  clock.Millis
}

// TableReport is a table's state as shown to operators. The fields of the update are left out
// if the last change came from the store.
type TableReport struct {
	Version int64        `json:"version"` // of the last change
	Era     int64        `json:"era"`
	AgeMs   clock.Millis `json:"age_ms"` // how long ago the table had every change, as in table_age_seconds

	From          string       `json:"from,omitempty"`  // host that sent the last change
	Bytes         int          `json:"bytes,omitempty"` // of that update on the link
	ReceivedMsAgo clock.Millis `json:"received_ms_ago,omitempty"`
}

// merge merges an update that a source has sent, and records it if it changes the table. w is
// the message, and n its size as it was sent.
func (r *Relay) merge(s *session, t watch.Replica, w *relaypb.Update, n int) {
	before, _ := t.LastChange()
	t.Merge(updateFromWire(t, w))
	at, known := t.LastChange()
	if !known || !before.Before(at) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receipts == nil {
		r.receipts = map[string]receipt{}
	}
	r.receipts[w.GetTable()] = receipt{at: at, from: s.host.ID, bytes: n, time: r.Clock.Now()}
}

// Report returns the state of all tables that are known.
func (r *Relay) Report() map[string]TableReport {
	reports := map[string]TableReport{}
	for name, t := range r.Tables {
		at, known := t.LastChange()
		if !known {
			continue
		}
		report := TableReport{Version: at.Version, Era: at.Era, AgeMs: r.tableAge(name).age}
		r.mu.Lock()
		if last := r.receipts[name]; last.at == at && last.from != "" {
			report.From, report.Bytes, report.ReceivedMsAgo = last.from, last.bytes, r.Clock.Now()-last.time
		}
		r.mu.Unlock()
		reports[name] = report
	}
	return reports
}

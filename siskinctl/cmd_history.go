package main

import "siskinpath/core/table"

var historyCommand = command{"history", "Print the edits of the table with their authors, newest first.", func() any { return &historyCmd{} }}

// historyBatchRows is the number of versions that one call to the platform reads.
const historyBatchRows = 50

type historyCmd struct {
	Limit int `help:"Number of versions to print." default:"20" short:"n"`
}

type historyEntry struct {
	Version uint64         `json:"version"`
	EditID  string         `json:"edit_id"`
	Author  string         `json:"author"`
	Time    string         `json:"time"`
	Changes []table.Change `json:"changes"`
}

type historyReply struct {
	Versions []historyEntry `json:"versions"`
}

// Run prints the newest versions with the changes that each made.
func (c *historyCmd) Run(a *app) error {
	newest, err := a.readNewest()
	if err != nil {
		return err
	}
	entries, err := c.entries(a, newest.Version)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(historyReply{entries})
	}
	if len(entries) == 0 {
		a.printf("%s\n", newest)
	}
	for _, e := range entries {
		a.printf("version %d by %s at %s, %d rows changed, edit %s\n", e.Version, e.Author, e.Time, len(e.Changes), e.EditID)
		a.printChanges(e.Changes)
	}
	return nil
}

// entries returns the entries of the newest versions in descending order. It reads one
// version more than it returns, to find the changes of the last entry.
func (c *historyCmd) entries(a *app, newest uint64) (entries []historyEntry, err error) {
	var newer *storedVersion
	for to := newest; to > 0 && len(entries) < c.Limit; to -= min(to, historyBatchRows) {
		var keys []string
		for v := to; v > to-min(to, historyBatchRows); v-- {
			keys = append(keys, table.HistoryKey(v))
		}
		rows, err := a.readRows(keys...)
		if err != nil {
			return nil, err
		}
		for i, row := range rows {
			row.Version = to - uint64(i)
			s, _ := decodeVersion(row) // a version that can't be decoded is listed without changes
			s.Version = row.Version
			if newer != nil && len(entries) < c.Limit {
				entries = append(entries, newHistoryEntry(*newer, s.Table))
			}
			newer = &s
		}
	}
	if newer != nil && len(entries) < c.Limit {
		entries = append(entries, newHistoryEntry(*newer, nil))
	}
	return entries, nil
}

func newHistoryEntry(s storedVersion, before *table.Table) historyEntry {
	return historyEntry{s.Version, s.Row.EditID, s.Row.Author, s.Row.Time, table.Diff(before, s.Table)}
}

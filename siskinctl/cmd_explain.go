package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var explainCommand = command{"explain", "Print the log lines of a request or an organisation from all hosts, or count failures by reason.", func() any { return &explainCmd{} }}

type explainCmd struct {
	Logs string `arg:"" type:"path" help:"Log file, or directory with one log file per host."`
	ID   string `arg:"" optional:"" help:"Id of the request, or name of an organisation. Without it, failures are counted by reason."`
}

// logLine is a line of a host's log. Host is the name of the file without extension.
type logLine struct {
	Host    string         `json:"host"`
	Time    string         `json:"time"`
	Message string         `json:"msg"`
	Values  map[string]any `json:"values"`
}

// failureCount is the number of requests that hosts answered themselves, instead of an
// upstream, with the same reason and status.
type failureCount struct {
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
	FirstID string `json:"first_id"`
}

type explainReply struct {
	ID string `json:"id,omitempty"`
	// Organisation is set instead of ID if no request has the name given as its id. Lines are
	// then those that concern no single request, and Failures those of the organisation.
	Organisation string `json:"organisation,omitempty"`

	Lines    []logLine      `json:"lines,omitempty"`
	Failures []failureCount `json:"causes,omitempty"`
}

// Run reads all logs and prints the lines of the request, or the failures by reason.
func (c *explainCmd) Run(a *app) error {
	lines, err := readLogs(c.Logs, func(l logLine) bool {
		return c.ID == "" || l.Values["id"] == c.ID || l.Values["organisation"] == c.ID
	})
	if err != nil {
		return err
	}
	reply := c.explain(lines)
	if c.ID != "" && len(lines) == 0 {
		return errors.Errorf("no log line in %s has request id %q or is of such an organisation: give the logs of all hosts for the time in question", c.Logs, c.ID)
	}
	if a.JSON {
		return a.printJSON(reply)
	}
	for _, l := range reply.Lines {
		a.printf("%s %s %s%s\n", l.Time, l.Host, l.Message, l.formatValues())
	}
	rows := [][]string{{"reason", "status", "count", "first_id"}}
	for _, r := range reply.Failures {
		rows = append(rows, []string{r.Reason, fmt.Sprint(r.Status), fmt.Sprint(r.Count), r.FirstID})
	}
	if reply.ID == "" {
		a.printColumns(rows)
	}
	return nil
}

// explain selects what to print of the lines of a request, an organisation, or all.
func (c *explainCmd) explain(lines []logLine) explainReply {
	if c.ID == "" {
		return explainReply{Failures: countFailures(lines)}
	}
	ofRequest := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Values["id"] != c.ID })
	if len(ofRequest) > 0 {
		return explainReply{ID: c.ID, Lines: ofRequest}
	}
	ofNone := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Values["id"] != nil })
	return explainReply{Organisation: c.ID, Lines: ofNone, Failures: countFailures(lines)}
}

// readLogs returns the lines of a file, or of all files in a directory, for which match
// returns true, sorted by time. Lines that are not JSON are skipped, because other
// programs may write to the same output.
func readLogs(path string, match func(logLine) bool) (lines []logLine, err error) {
	defer func() { err = errors.WithMessage(err, "logs") }()
	files := []string{path}
	if info, err := os.Stat(path); err != nil {
		return nil, err
	} else if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		host := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		found, err := readLog(f, host, match)
		_ = f.Close()
		if err != nil {
			return nil, errors.WithMessage(err, name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return lines, nil
}

// maxLineBytes is the size of a log line above which reading the log fails.
const maxLineBytes = 1 << 20

func readLog(r io.Reader, host string, match func(logLine) bool) (lines []logLine, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l := logLine{Host: host}
		if json.Unmarshal(s.Bytes(), &l.Values) != nil {
			continue
		}
		l.Time, _ = l.Values["time"].(string)
		l.Message, _ = l.Values["msg"].(string)
		for _, name := range []string{"time", "msg", "level"} {
			delete(l.Values, name)
		}
		if match(l) {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

// formatValues returns the values of a line as name=value pairs, sorted by name.
func (l logLine) formatValues() string {
	var b strings.Builder
	names := make([]string, 0, len(l.Values))
	for name := range l.Values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v, err := json.Marshal(l.Values[name])
		if err != nil {
			v = []byte(err.Error())
		}
		fmt.Fprintf(&b, " %s=%s", name, v)
	}
	return b.String()
}

// countFailures counts the answers that hosts gave themselves by reason and status, in
// descending order of the count.
func countFailures(lines []logLine) (counts []failureCount) {
	for _, l := range lines {
		reason, hasReason := l.Values["reason"].(string)
		status, hasStatus := l.Values["status"].(float64)
		if forwarded, _ := l.Values["forwarded"].(bool); !hasReason || !hasStatus || forwarded {
			continue // no answer to a caller
		}
		id, _ := l.Values["id"].(string)
		at := slices.IndexFunc(counts, func(c failureCount) bool { return c.Reason == reason && c.Status == int(status) })
		if at < 0 {
			counts = append(counts, failureCount{Reason: reason, Status: int(status), Count: 1, FirstID: id})
			continue
		}
		counts[at].Count++
	}
	slices.SortStableFunc(counts, func(a, b failureCount) int { return cmp.Compare(b.Count, a.Count) })
	return counts
}

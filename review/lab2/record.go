package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

var rec *record

func openRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	rec = &record{f: f, start: time.Now()}
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", a...)
}

// cannotRun ends the case as one that could not run.
func cannotRun(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", a...)
	if rec != nil {
		rec.line("could not run: "+format, a...)
	}
	exit(2)
}

// exit ends all processes and this one.
func exit(code int) {
	endHosts()
	if rec != nil {
		rec.f.Close()
	}
	os.Exit(code)
}

// verdict prints the result and ends.
func verdict(broken bool, format string, a ...any) {
	word := "rule held: "
	code := 0
	if broken {
		word, code = "RULE BROKEN: ", 1
	}
	text := word + fmt.Sprintf(format, a...)
	rec.line("%s", text)
	fmt.Println(text)
	exit(code)
}

// logs copies the lines of a host's log that have one of the texts.
func (r *record) logs(h *host, texts ...string) {
	f, err := os.Open(h.logPath)
	if err != nil {
		return
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		for _, text := range texts {
			if strings.Contains(lines.Text(), text) {
				r.line("log of %s: %s", h.id, lines.Text())
				break
			}
		}
	}
}

package logs

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func TestLimit(t *testing.T) {
	Convey("a logger with a limit of 3 lines a second", t, func() {
		var out bytes.Buffer
		c := &clock.Manual{}
		c.Advance(clock.Hour)
		log, _ := New(&out, slog.LevelInfo, c, 3)
		for range 10 {
			log.Info("sent", "id", "a")
		}
		log.Info("refused", "id", "b")
		Convey("writes 3 lines of a frequent kind and every line of a rare kind", func() {
			So(strings.Count(out.String(), `"msg":"sent"`), ShouldEqual, 3)
			So(strings.Count(out.String(), `"msg":"refused"`), ShouldEqual, 1)
		})
		Convey("logs the number of lines left out in the next second", func() {
			c.Advance(clock.Second)
			log.Info("sent", "id", "c")
			So(out.String(), ShouldContainSubstring, `"kind":"sent","lines":7`)
		})
	})
}

// TestSlowReader checks that logging does not block when the output is a pipe that
// nobody reads.
func TestSlowReader(t *testing.T) {
	r, out := io.Pipe()
	w := NewWriter(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	done := make(chan struct{})
	go func() {
		for range 10 * maxQueuedLines {
			log.Info("sent")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on a reader that does not read")
	}
	_ = r.Close()
	w.Close()
}

// TestLongLinesAtSlowReader guards against lines that quote long texts of callers and are queued
// while the log is not read.
func TestLongLinesAtSlowReader(t *testing.T) {
	Convey("long lines are logged while nobody reads", t, func() {
		r, out := io.Pipe()
		w := NewWriter(out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		for range maxQueuedLines {
			log.Info("refused", "id", strings.Repeat("x", 20_000))
		}
		Convey("no more is written later than may be queued, and lines are written again", func() {
			written := make(chan int64)
			go func() {
				n, _ := io.Copy(io.Discard, r)
				written <- n
			}()
			for w.queued.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			before := linesWritten.Get()
			log.Info("refused", "id", "short")
			So(linesWritten.Get(), ShouldEqual, before+1)
			w.Close()
			_ = out.Close()
			So(<-written, ShouldBeBetween, 0, maxQueuedBytes+2*maxWriteBytes)
		})
	})
}

// TestLineAtEndOfProcess guards against a panic when a request is still answered while the log is
// closed.
func TestLineAtEndOfProcess(t *testing.T) {
	Convey("lines that are logged while the log is closed, and after it", t, func() {
		var out bytes.Buffer
		w := NewWriter(&out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		log.Info("before")
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 1000 {
					log.Info("meanwhile")
				}
			})
		}
		w.Close()
		writers.Wait()
		Convey("do not end the process, and those before it are written", func() {
			So(out.String(), ShouldContainSubstring, `"msg":"before"`)
			before := linesDropped.Get()
			log.Info("after")
			So(linesDropped.Get(), ShouldEqual, before+1)
		})
	})
}

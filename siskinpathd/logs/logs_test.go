package logs

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
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

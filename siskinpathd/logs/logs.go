// Package logs writes structured log lines without ever holding up the work that
// they tell of: lines of each kind are limited, and wait in memory for a writer
// of their own. Lines that have no place there are left out and counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
)

const (
	// waiting is how many lines wait for the writer.
	waiting = 1024
	// together is how many bytes are written at once.
	together = 32 << 10
	// closeWithin is how long Close waits for a slow reader of the lines.
	closeWithin = 200 * clock.Millisecond
)

var (
	linesWritten = metrics.NewCounter("log_lines_written_total")
	linesLimited = metrics.NewCounter(`log_lines_left_out_total{reason="limit"}`)
	linesDropped = metrics.NewCounter(`log_lines_left_out_total{reason="slow_reader"}`)
)

// Writer takes whole lines and writes them one after another in the background.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, waiting), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
		linesWritten.Inc()
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Close writes what waits, unless the reader is too slow for that. Nothing may be
// written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeWithin.Duration()):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buf []byte
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for more := true; more && len(buf) < together; {
			select {
			case next, open := <-w.lines:
				buf = append(buf, next...)
				more = open
			default:
				more = false
			}
		}
		if _, err := w.out.Write(buf); err != nil {
			linesDropped.Inc() // nobody is left to tell
		}
	}
}

// Limiter allows so many lines of each kind a second. Not more than a few dozen
// kinds are meant.
type Limiter struct {
	Clock     clock.Clock
	PerSecond int // 0 means no limit
	Logger    *slog.Logger

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	second clock.Millis
	lines  int
	left   int // left out since the last line that said so
}

// Allow tells whether a line of this kind may be written now. What was left out
// is told with the first line after it.
func (l *Limiter) Allow(name string) bool {
	if l.PerSecond <= 0 {
		return true
	}
	now := l.Clock.Now() / clock.Second
	l.mu.Lock()
	if l.kinds == nil {
		l.kinds = map[string]*kind{}
	}
	k := l.kinds[name]
	if k == nil {
		k = &kind{}
		l.kinds[name] = k
	}
	left := 0
	if k.second != now {
		left = k.left
		k.second, k.lines, k.left = now, 0, 0
	}
	allowed := k.lines < l.PerSecond
	if allowed {
		k.lines++
	} else {
		k.left++
	}
	l.mu.Unlock()
	if left > 0 {
		l.Logger.Warn("lines left out", "kind", name, "lines", left)
	}
	if !allowed {
		linesLimited.Inc()
	}
	return allowed
}

// Handler limits the lines of a handler by their message.
type Handler struct {
	slog.Handler
	Limiter *Limiter
}

// Handle writes a line when its kind may be written now.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.Limiter.Allow(r.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs keeps the limit.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), Limiter: h.Limiter}
}

// WithGroup keeps the limit.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), Limiter: h.Limiter}
}

// New returns a logger of JSON lines to w, and the limiter that its callers may ask
// before they gather what a line holds.
func New(w io.Writer, level slog.Level, c clock.Clock, perSecond int) (*slog.Logger, *Limiter) {
	base := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	l := &Limiter{Clock: c, PerSecond: perSecond, Logger: slog.New(base)}
	return slog.New(&Handler{Handler: base, Limiter: l}), l
}

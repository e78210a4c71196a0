// Package logs writes structured log lines without ever blocking the code that logs.
// The rate of lines is limited for each kind of line. Lines are queued in memory and
// written in the background. Lines that exceed the rate or do not fit into the queue
// are left out and counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 1024
	// maxQueuedBytes is the size of these lines together. Lines quote ids that callers choose.
	maxQueuedBytes = 1 << 20
	// maxWriteBytes is the size at which no further line is added to a write.
	maxWriteBytes = 32 << 10
	// closeTimeout is how long Close waits for a slow reader of the log.
	closeTimeout = 200 * clock.Millisecond
)

var (
	linesWritten = metrics.NewCounter("log_lines_written_total")
	linesLimited = metrics.NewCounter(`log_lines_left_out_total{reason="limit"}`)
	linesDropped = metrics.NewCounter(`log_lines_left_out_total{reason="slow_reader"}`)
)

// Writer queues whole lines and writes them in order in the background.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	buf    []byte       // of the lines that are being written
	queued atomic.Int64 // bytes of lines
	closed chan struct{}
	done   chan struct{} // closed when the lines queued before the close have been written
	once   sync.Once
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails. Lines after Close are left out.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closed:
		linesDropped.Inc()
		return len(line), nil
	default:
	}
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		linesDropped.Inc()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		linesWritten.Inc()
	default:
		w.queued.Add(-size)
		linesDropped.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines, but gives up if the reader does not take them within
// closeTimeout.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout.Duration()):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closed:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are queued.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line and those that are queued behind it.
func (w *Writer) write(line []byte) {
	w.queued.Add(-int64(len(line)))
	w.buf = append(w.buf[:0], line...)
	for more := true; more && len(w.buf) < maxWriteBytes; {
		select {
		case next := <-w.lines:
			w.queued.Add(-int64(len(next)))
			w.buf = append(w.buf, next...)
		default:
			more = false
		}
	}
	if _, err := w.out.Write(w.buf); err != nil {
		linesDropped.Inc() // there is no other place to report the error
	}
}

// Limiter limits the number of lines per second for each kind of line. It is meant
// for at most a few dozen kinds, because it never forgets one.
type Limiter struct {
	Clock     clock.Clock
	PerSecond int // 0 means no limit
	Logger    *slog.Logger

	mu    sync.Mutex
	kinds map[string]*lineCount
}

// lineCount counts the lines of one kind within one second.
type lineCount struct {
	second  clock.Millis // the second that is counted, not milliseconds
	lines   int
	omitted int // lines left out and not yet reported
}

// Allow reports whether a line of the given kind may be written now. The number of
// lines that were left out is logged at the first call for the kind in a later second.
func (l *Limiter) Allow(kind string) bool {
	if l.PerSecond <= 0 {
		return true
	}
	now := l.Clock.Now() / clock.Second
	l.mu.Lock()
	if l.kinds == nil {
		l.kinds = map[string]*lineCount{}
	}
	count := l.kinds[kind]
	if count == nil {
		count = &lineCount{}
		l.kinds[kind] = count
	}
	omitted := 0
	if count.second != now {
		omitted = count.omitted
		count.second, count.lines, count.omitted = now, 0, 0
	}
	allowed := count.lines < l.PerSecond
	if allowed {
		count.lines++
	} else {
		count.omitted++
	}
	l.mu.Unlock()
	if omitted > 0 {
		l.Logger.Warn("lines left out", "kind", kind, "lines", omitted)
	}
	if !allowed {
		linesLimited.Inc()
	}
	return allowed
}

// Handler applies a Limiter to another handler. The kind of a line is its message.
type Handler struct {
	slog.Handler
	Limiter *Limiter
}

// Handle passes the record on if the limiter allows it.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.Limiter.Allow(r.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a Handler with the given attributes and the same limiter.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), Limiter: h.Limiter}
}

// WithGroup returns a Handler with the given group and the same limiter.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), Limiter: h.Limiter}
}

// New returns a logger that writes JSON lines to w, and its limiter. Callers may ask
// the limiter before they collect the attributes of a line.
func New(w io.Writer, level slog.Level, c clock.Clock, perSecond int) (*slog.Logger, *Limiter) {
	base := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	l := &Limiter{Clock: c, PerSecond: perSecond, Logger: slog.New(base)}
	return slog.New(&Handler{Handler: base, Limiter: l}), l
}

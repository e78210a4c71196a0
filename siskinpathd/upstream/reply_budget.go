package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/memory"
)

const (
	// maxWaitingReplies is the number of replies that may wait for memory. The kernel holds a
	// part of each meanwhile.
	maxWaitingReplies = 16
	// replyWaitInterval is how often a waiting reply looks for memory.
	replyWaitInterval = 10 * clock.Millisecond
)

// ErrNoMemory means that this host has no memory for a reply, which says nothing about the
// upstream.
var ErrNoMemory = errors.New("the replies are longer together than this host accepts")

var errReplyTooLong = errors.New("the reply is longer than this host accepts")

var (
	repliesWaited   = metrics.NewCounter("upstream_replies_waited_total")
	repliesUnread   = metrics.NewCounter("upstream_replies_no_memory_total")
	replyBytesInUse atomic.Int64
)

func init() {
	metrics.NewGauge("upstream_reply_bytes", func() float64 { return float64(replyBytesInUse.Load()) })
}

// ReplyBudget limits the bytes of the replies that are being read or have not been released, so
// that neither an upstream that sends without end nor a caller that takes nothing can use up the
// host's memory. Set the exported fields before use. It is safe for concurrent use.
type ReplyBudget struct {
	PerReply int64 // bytes of one reply, with its header and replies that were skipped
	// Total is the number of bytes of all replies. Above it, replies that are longer than an
	// equal share wait or fail, so that long ones don't end short ones.
	Total int64
	// Max is the number of bytes above which all replies wait or fail; 0 for none.
	Max int64
	// Memory is what the replies share with other parts of the process; nil for none.
	Memory *memory.Budget
	// Reclaim is called again and again while a reply waits. It may end the slowest delivery of
	// another one, and reports whether replies are being delivered, so that there will be
	// memory. Without it no reply waits.
	Reclaim func() bool

	inUse   atomic.Int64
	replies atomic.Int64 // being read or not released
	waiting atomic.Int64
}

// meter returns a meter for one reply. Call release at its end.
func (b *ReplyBudget) meter() *replyMeter {
	if b != nil {
		b.replies.Add(1)
	}
	return &replyMeter{budget: b}
}

// Reserve counts a reply of n bytes that comes from another host before it is read. It waits for
// memory until ctx ends. Pass the reservation to Reply.Hold, or release it.
func (b *ReplyBudget) Reserve(ctx context.Context, n int) (*Reservation, error) {
	m := b.meter()
	m.done = ctx.Done()
	if err := m.reserve(n); err != nil {
		m.release()
		return nil, err
	}
	return &Reservation{meter: m}, nil
}

// Reservation is memory that is counted for a reply.
type Reservation struct{ meter *replyMeter }

// Release returns the memory to the budget. It may be called more than once, and on nil.
func (r *Reservation) Release() {
	if r != nil {
		r.meter.release()
	}
}

// Hold makes Release of the reply release a reservation, which may be nil.
func (r *Reply) Hold(memory *Reservation) {
	if memory != nil {
		r.meter = memory.meter
	}
}

// fits reports whether a reply of n bytes, which are counted, may go on.
func (b *ReplyBudget) fits(n int64) bool {
	total := b.inUse.Load()
	return total <= b.Total || n <= b.Total/max(1, b.replies.Load()) && (b.Max == 0 || total <= b.Max)
}

// count counts n more bytes.
func (b *ReplyBudget) count(n int64) {
	b.inUse.Add(n)
	replyBytesInUse.Add(n)
}

// replyMeter counts the bytes of one reply. Without a budget there is no limit.
type replyMeter struct {
	budget   *ReplyBudget
	done     <-chan struct{} // closed when nobody waits for the reply
	bytes    int64           // counted
	reserved int64           // counted and not yet read
	shared   int64           // taken of the shared memory
}

// add counts n bytes that have been read.
func (m *replyMeter) add(n int) error {
	if m == nil || m.budget == nil {
		return nil
	}
	early := min(m.reserved, int64(n))
	m.reserved -= early
	more := int64(n) - early
	if more == 0 {
		return nil
	}
	m.bytes += more
	m.budget.count(more)
	if m.bytes > m.budget.PerReply {
		return errReplyTooLong
	}
	return m.wait(func() bool { return m.budget.fits(m.bytes) && m.share(more) })
}

// replyFieldBytes is what each header field of a reply takes besides its bytes.
const replyFieldBytes = 160

// addFields counts the header fields of a reply that has been read.
func (m *replyMeter) addFields(n int) {
	if m != nil && m.budget != nil {
		m.bytes += int64(n * replyFieldBytes)
		m.budget.count(int64(n * replyFieldBytes))
	}
}

// reserve counts n bytes before they are read. Nothing is counted while it waits.
func (m *replyMeter) reserve(n int) error {
	if m == nil || m.budget == nil || n <= 0 {
		return nil
	}
	if m.bytes+int64(n) > m.budget.PerReply {
		return errReplyTooLong
	}
	return m.wait(func() bool {
		m.budget.count(int64(n))
		if !m.budget.fits(m.bytes+int64(n)) || !m.share(int64(n)) {
			m.budget.count(-int64(n))
			return false
		}
		m.bytes += int64(n)
		m.reserved += int64(n)
		return true
	})
}

// share takes n bytes of the shared memory.
func (m *replyMeter) share(n int64) bool {
	if !m.budget.Memory.Take(n) {
		return false
	}
	m.shared += n
	return true
}

// wait waits until fits returns true. It fails if there will be no memory, or if too many others
// wait.
func (m *replyMeter) wait(fits func() bool) error {
	if fits() {
		return nil
	}
	b := m.budget
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > maxWaitingReplies || b.Reclaim == nil {
		repliesUnread.Inc()
		return ErrNoMemory
	}
	repliesWaited.Inc()
	for b.Reclaim() {
		select {
		case <-m.done:
			return ErrNoMemory
		case <-time.After(replyWaitInterval.Duration()):
		}
		if fits() {
			return nil
		}
	}
	repliesUnread.Inc()
	return ErrNoMemory
}

// release returns the counted bytes to the budget. It may be called more than once.
func (m *replyMeter) release() {
	if m == nil || m.budget == nil {
		return
	}
	m.budget.count(-m.bytes)
	m.budget.replies.Add(-1)
	m.budget.Memory.Release(m.shared)
	m.budget = nil
}

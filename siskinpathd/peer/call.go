package peer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/mux"
	"siskinpath/siskinpathd/peer/peerpb"
)

// Reasons that the transport itself sets in replies.
const (
	ReasonOverloaded     = "overloaded"       // too many calls on this link; the call was not run
	ReasonAnswerTooLarge = "answer_too_large" // the call was run, but its answer exceeds the frame limit
)

// overloadedRetryAfter is the retry delay sent with ReasonOverloaded.
const overloadedRetryAfter = 50 * clock.Millisecond

// CallError reports a call that received no reply.
type CallError struct {
	HostID  string
	NotSent bool // the call certainly did not reach the other host
	Cause   error
}

// Error implements the error interface.
func (e *CallError) Error() string { return "call to host " + e.HostID + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// NotSent reports whether a call that failed with err certainly did not reach
// the other host. If it returns false, the call may have been run there.
func NotSent(err error) bool {
	var e *CallError
	return errors.As(err, &e) && e.NotSent
}

var (
	errNoLink = errors.New("no link")
	errBusy   = errors.New("too many calls in flight on the link")
)

// Call sends req to a host and waits for the reply until ctx is done. When ctx
// is done, the context of the call on the other host is cancelled too. req is not
// used after Call returns.
func (tr *Transport) Call(ctx context.Context, hostID string, req *peerpb.CallRequest) (reply *peerpb.CallReply, err error) {
	tr.once.Do(tr.setDefaults)
	defer func() { tr.count.call(err) }()
	s := tr.sessionTo(hostID)
	if s == nil {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errNoLink}
	}
	if len(req.GetBody()) > tr.MaxBodyBytes {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errTooLarge}
	}
	x := &exchange{session: s, done: make(chan struct{})}
	open := &peerpb.Open{Kind: &peerpb.Open_Call{Call: req}}
	if err := appendFrame(&x.frame, open, tr.maxCallFrame()); err != nil {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: err}
	}
	select {
	case s.outgoingCalls <- struct{}{}:
	default:
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errBusy}
	}
	go x.run(ctx)
	select {
	case <-x.done:
	case <-ctx.Done():
		return nil, &CallError{HostID: hostID, NotSent: x.cancelUnsent(), Cause: ctx.Err()}
	}
	if x.err != nil {
		return nil, &CallError{HostID: hostID, NotSent: x.state.Load() != stateWriting, Cause: x.err}
	}
	return x.reply, nil
}

// serveCall runs one call and writes its reply. The caller closes its side of the
// stream only after it has received the reply or has given up. A caller that
// gives up therefore cancels ctx.
func (s *session) serveCall(ctx context.Context, stream *mux.Stream, req *peerpb.CallRequest) {
	if len(req.GetBody()) > s.transport.MaxBodyBytes {
		s.closeCorrupt(errTooLarge)
		return
	}
	select {
	case <-s.identified:
	case <-ctx.Done():
		return
	}
	select {
	case s.incomingCalls <- struct{}{}:
		defer func() { <-s.incomingCalls }()
	default:
		s.reply(stream, &peerpb.CallReply{
			Outcome:      peerpb.Outcome_OUTCOME_NOT_RUN,
			Reason:       ReasonOverloaded,
			RetryAfterMs: uint64(overloadedRetryAfter),
		})
		return
	}
	left := time.Duration(min(req.GetDeadlineMs(), uint64(clock.Hour))) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, stream)
		cancel()
	}()
	s.reply(stream, s.transport.OnCall(ctx, s.peer.id, req))
}

func (s *session) reply(stream *mux.Stream, reply *peerpb.CallReply) {
	tr := s.transport
	if len(reply.GetBody()) > tr.MaxBodyBytes {
		reply = tooLargeReply(reply)
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	n, err := writeFrame(stream, reply, tr.maxCallFrame())
	if errors.Is(err, errTooLarge) {
		n, _ = writeFrame(stream, tooLargeReply(reply), tr.maxCallFrame())
	}
	tr.count.callSent.Add(n)
}

// tooLargeReply returns a reply without the body and headers of one that exceeds
// the frame limit.
func tooLargeReply(reply *peerpb.CallReply) *peerpb.CallReply {
	return &peerpb.CallReply{
		Outcome:      peerpb.Outcome_OUTCOME_UNKNOWN,
		Reason:       ReasonAnswerTooLarge,
		RetryAfterMs: reply.GetRetryAfterMs(),
		Digest:       reply.GetDigest(),
	}
}

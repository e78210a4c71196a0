package peer

import (
	"context"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/peer/peerpb"
)

// Reasons in replies that the link itself gives.
const (
	ReasonOverloaded     = "overloaded"       // too many calls on this link; not run
	ReasonAnswerTooLarge = "answer_too_large" // it was run, but its answer can't be carried
)

// retryOverloaded is when to come back after ReasonOverloaded.
const retryOverloaded = 50 * clock.Millisecond

// CallError is a call that got no reply.
type CallError struct {
	HostID  string
	NotSent bool // the other host has certainly not got the call
	Cause   error
}

// Error names the host and the cause.
func (e *CallError) Error() string { return "call to host " + e.HostID + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// NotSent tells whether a call that failed with err has certainly not reached
// the other host. Otherwise it may have been run there.
func NotSent(err error) bool {
	var e *CallError
	return errors.As(err, &e) && e.NotSent
}

var (
	errNoLink = errors.New("no link")
	errBusy   = errors.New("too many calls in flight on the link")
)

// Call asks a host and waits for its reply, at most until ctx ends; then the
// other host's context of the call ends too. req is not used after the return.
func (l *Transport) Call(ctx context.Context, hostID string, req *peerpb.CallRequest) (reply *peerpb.CallReply, err error) {
	l.once.Do(l.start)
	defer func() { l.count.call(err) }()
	s := l.to(hostID)
	if s == nil {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errNoLink}
	}
	if len(req.GetBody()) > l.MaxBodyBytes {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errTooLarge}
	}
	x := &exchange{session: s, ended: make(chan struct{})}
	open := &peerpb.Open{Kind: &peerpb.Open_Call{Call: req}}
	if err := appendFrame(&x.frame, open, l.maxCallFrame()); err != nil {
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: err}
	}
	select {
	case s.calls <- struct{}{}:
	default:
		return nil, &CallError{HostID: hostID, NotSent: true, Cause: errBusy}
	}
	go x.run(ctx)
	select {
	case <-x.ended:
	case <-ctx.Done():
		return nil, &CallError{HostID: hostID, NotSent: x.giveUp(), Cause: ctx.Err()}
	}
	if x.err != nil {
		return nil, &CallError{HostID: hostID, NotSent: x.step.Load() != stepWriting, Cause: x.err}
	}
	return x.reply, nil
}

// serveCall answers one call. The caller ends its side of the stream only when
// it has the reply or has given up; the latter ends ctx.
func (s *session) serveCall(ctx context.Context, stream *yamux.Stream, req *peerpb.CallRequest) {
	if len(req.GetBody()) > s.link.MaxBodyBytes {
		s.broken(errTooLarge)
		return
	}
	select {
	case <-s.identified:
	case <-ctx.Done():
		return
	}
	select {
	case s.serving <- struct{}{}:
		defer func() { <-s.serving }()
	default:
		s.reply(stream, &peerpb.CallReply{
			Outcome:      peerpb.Outcome_OUTCOME_NOT_RUN,
			Reason:       ReasonOverloaded,
			RetryAfterMs: uint64(retryOverloaded),
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
	s.reply(stream, s.link.OnCall(ctx, s.peer.id, req))
}

func (s *session) reply(stream *yamux.Stream, reply *peerpb.CallReply) {
	l := s.link
	if len(reply.GetBody()) > l.MaxBodyBytes {
		reply = tooLarge(reply)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	n, err := writeFrame(stream, reply, l.maxCallFrame())
	if errors.Is(err, errTooLarge) {
		n, _ = writeFrame(stream, tooLarge(reply), l.maxCallFrame())
	}
	l.count.callSent.Add(n)
}

// tooLarge is what can be said of a reply that doesn't fit.
func tooLarge(reply *peerpb.CallReply) *peerpb.CallReply {
	return &peerpb.CallReply{
		Outcome:      peerpb.Outcome_OUTCOME_UNKNOWN,
		Reason:       ReasonAnswerTooLarge,
		RetryAfterMs: reply.GetRetryAfterMs(),
		Digest:       reply.GetDigest(),
	}
}

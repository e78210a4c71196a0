package peer

import (
	"bufio"
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

// Error is a call that got no reply.
type Error struct {
	HostID  string
	NotSent bool // the other host has certainly not got the call
	Cause   error
}

// Error names the host and the cause.
func (e *Error) Error() string { return "call to host " + e.HostID + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotSent tells whether a call that failed with err has certainly not reached
// the other host. Otherwise it may have been run there.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

var (
	errNoLink = errors.New("no link")
	errBusy   = errors.New("too many calls in flight on the link")
)

// Call asks a host and waits for its reply. When ctx ends first, the other
// host's context of the call ends too.
func (l *Link) Call(ctx context.Context, hostID string, req *peerpb.CallRequest) (reply *peerpb.CallReply, err error) {
	l.once.Do(l.start)
	defer func() { l.count.call(err) }()
	s := l.to(hostID)
	if s == nil {
		return nil, &Error{HostID: hostID, NotSent: true, Cause: errNoLink}
	}
	if len(req.GetBody()) > l.MaxBodyBytes {
		return nil, &Error{HostID: hostID, NotSent: true, Cause: errTooLarge}
	}
	stream, err := s.open(ctx)
	if err != nil {
		return nil, &Error{HostID: hostID, NotSent: true, Cause: err}
	}
	defer func() { <-s.calls }()
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	return s.exchange(stream, hostID, req)
}

// open opens a stream and takes a place in s.calls. The library's opening can't
// be cancelled, so it is waited for apart and closed when it comes too late.
func (s *session) open(ctx context.Context) (*yamux.Stream, error) {
	select {
	case s.calls <- struct{}{}:
	default:
		return nil, errBusy
	}
	opened := make(chan opening, 1)
	go func() {
		stream, err := s.mux.OpenStream()
		opened <- opening{stream: stream, err: err}
	}()
	select {
	case o := <-opened:
		if o.err != nil {
			<-s.calls
		}
		return o.stream, o.err
	case <-ctx.Done():
		go s.discard(opened)
		return nil, ctx.Err()
	}
}

// opening is how the opening of a stream ended.
type opening struct {
	stream *yamux.Stream
	err    error
}

// discard closes a stream that nobody waits for any more.
func (s *session) discard(opened <-chan opening) {
	if o := <-opened; o.err == nil {
		_ = o.stream.Close()
	}
	<-s.calls
}

// exchange writes the call and reads the reply. The library may have queued a
// write that it reports as failed, so only errTooLarge proves that nothing went.
func (s *session) exchange(stream *yamux.Stream, hostID string, req *peerpb.CallRequest) (*peerpb.CallReply, error) {
	l := s.link
	n, err := writeFrame(stream, &peerpb.Open{Kind: &peerpb.Open_Call{Call: req}}, l.maxCallFrame())
	l.count.callSent.Add(n)
	if err != nil {
		return nil, &Error{HostID: hostID, NotSent: errors.Is(err, errTooLarge), Cause: err}
	}
	reply := &peerpb.CallReply{}
	n, err = readFrame(bufio.NewReader(stream), reply, l.maxCallFrame())
	l.count.callReceived.Add(n)
	if err != nil {
		if !cutOff(err) {
			s.broken(err)
		}
		return nil, &Error{HostID: hostID, Cause: err}
	}
	return reply, nil
}

// serveCall answers one call. The caller ends its side of the stream only when
// it has the reply or has given up; the latter ends ctx.
func (s *session) serveCall(ctx context.Context, stream *yamux.Stream, r *bufio.Reader, req *peerpb.CallRequest) {
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
		_, _ = io.Copy(io.Discard, r)
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

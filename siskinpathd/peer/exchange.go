package peer

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"siskinpath/siskinpathd/mux"
	"siskinpath/siskinpathd/peer/peerpb"
)

// States of an exchange. An exchange leaves stateOpening at most once, either for
// stateWriting or for stateCancelled.
const (
	stateOpening   int32 = iota
	stateWriting         // the other host may have received the call
	stateCancelled       // the call is never sent
)

// exchange is one call. It runs on its own goroutine, because yamux can't interrupt
// opening, writing or closing a stream when the peer has stopped reading.
type exchange struct {
	session *session
	frame   bytes.Buffer
	state   atomic.Int32

	done  chan struct{} // closed once reply or err is set
	reply *peerpb.CallReply
	err   error
}

// cancelUnsent prevents the call from being sent and reports whether it succeeded.
// If it returns false, the call may have been sent.
func (x *exchange) cancelUnsent() bool {
	return x.state.CompareAndSwap(stateOpening, stateCancelled)
}

// run performs the call. It releases the call's slot in session.outgoingCalls only
// after the stream is closed.
func (x *exchange) run(ctx context.Context) {
	defer func() { <-x.session.outgoingCalls }()
	stream, err := x.session.mux.Open()
	if err != nil {
		x.err = err
		close(x.done)
		return
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	x.reply, x.err = x.roundTrip(stream)
	close(x.done)
}

// roundTrip writes the call and reads the reply. yamux may have queued a write that
// it reports as failed, so the call may have been sent even if the write fails.
func (x *exchange) roundTrip(stream *mux.Stream) (*peerpb.CallReply, error) {
	if !x.state.CompareAndSwap(stateOpening, stateWriting) {
		return nil, context.Canceled
	}
	tr := x.session.transport
	n, err := stream.Write(x.frame.Bytes())
	tr.count.callSent.Add(n + muxHeaderBytes)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.CallReply{}
	r := getReader(stream)
	defer putReader(r)
	n, err = readFrame(r, reply, tr.maxCallFrame())
	tr.count.callReceived.Add(n)
	if err != nil && !isTruncation(err) {
		x.session.closeCorrupt(err)
	}
	return reply, err
}

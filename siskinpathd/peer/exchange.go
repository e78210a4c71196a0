package peer

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"siskinpath/siskinpathd/peer/peerpb"
)

// Steps of an exchange. Only one of the last two is ever taken.
const (
	stepOpening int32 = iota
	stepWriting       // from here on the other host may get the call
	stepGivenUp       // it never will
)

// exchange is one call on its own goroutine, since the library's opening,
// writing and closing can't be interrupted when a peer has stopped reading.
type exchange struct {
	session *session
	frame   bytes.Buffer
	step    atomic.Int32

	ended chan struct{} // closed once reply or err is set
	reply *peerpb.CallReply
	err   error
}

// giveUp tells whether the call has certainly not been sent, and keeps it so.
func (x *exchange) giveUp() bool {
	return x.step.CompareAndSwap(stepOpening, stepGivenUp)
}

// run does the call. The place in session.calls is given back when the stream
// is closed.
func (x *exchange) run(ctx context.Context) {
	defer func() { <-x.session.calls }()
	stream, err := x.session.mux.OpenStream()
	if err != nil {
		x.err = err
		close(x.ended)
		return
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	x.reply, x.err = x.talk(stream)
	close(x.ended)
}

// talk writes the call and reads the reply. The library may have queued a write
// that it reports as failed, so a failed write proves nothing.
func (x *exchange) talk(stream *yamux.Stream) (*peerpb.CallReply, error) {
	if !x.step.CompareAndSwap(stepOpening, stepWriting) {
		return nil, context.Canceled
	}
	l := x.session.link
	n, err := stream.Write(x.frame.Bytes())
	l.count.callSent.Add(n + muxHeaderBytes)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.CallReply{}
	r := borrowReader(stream)
	defer returnReader(r)
	n, err = readFrame(r, reply, l.maxCallFrame())
	l.count.callReceived.Add(n)
	if err != nil && !cutOff(err) {
		x.session.broken(err)
	}
	return reply, err
}

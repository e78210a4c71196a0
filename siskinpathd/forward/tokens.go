package forward

import (
	"bufio"
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/mux"
)

// errTokenStreamEnded is returned for messages without a reply when their stream ends.
var errTokenStreamEnded = errors.New("the other host has closed the stream")

// tokenStream carries the messages for tokens of a session, one after another, and their
// replies in the same order. A stream for each message would double the bytes.
type tokenStream struct {
	stream *mux.Stream

	mu      sync.Mutex
	waiting []chan *forwardpb.Reply // of the messages without a reply, in order; closed when the stream ends
	ended   bool
}

// Ask passes a message for tokens to the host at an address and returns its reply. A host
// of a release without quotas replies without tokens and closes the stream.
func (c *Client) Ask(ctx context.Context, address string, tokens *forwardpb.Tokens) (reply *forwardpb.Reply, err error) {
	defer func() { err = errors.WithMessagef(err, "tokens from %s", address) }()
	s, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.release(address, s)
	t, err := s.tokenStream(ctx)
	if err != nil {
		return nil, err
	}
	replied, err := t.send(&forwardpb.Request{Tokens: tokens})
	if err != nil {
		return nil, err
	}
	select {
	case reply, open := <-replied:
		if !open {
			return nil, errTokenStreamEnded
		}
		return reply, nil
	case <-ctx.Done():
		go s.ping() // the session may be dead
		return nil, ctx.Err()
	}
}

// tokenStream returns the stream for messages of a session, and opens it if there is none.
func (s *session) tokenStream(ctx context.Context) (t *tokenStream, err error) {
	s.mu.Lock()
	t = s.tokens
	s.mu.Unlock()
	if t != nil && !t.hasEnded() {
		return t, nil
	}
	stream, err := s.open(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens != nil && !s.tokens.hasEnded() { // another call was sooner
		go func() { _ = stream.Close() }()
		return s.tokens, nil
	}
	s.tokens = &tokenStream{stream: stream}
	go s.tokens.receive()
	return s.tokens, nil
}

func (t *tokenStream) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// send sends a message, and returns the channel that receives its reply.
func (t *tokenStream) send(req *forwardpb.Request) (replied <-chan *forwardpb.Reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return nil, errTokenStreamEnded
	}
	w := bufio.NewWriterSize(t.stream, 256)
	if _, err = protodelim.MarshalTo(w, req); err == nil {
		err = w.Flush()
	}
	if err != nil {
		t.stream.SetReadDeadline(past) // ends receive
		return nil, err
	}
	waiter := make(chan *forwardpb.Reply, 1)
	t.waiting = append(t.waiting, waiter)
	return waiter, nil
}

// receive passes the replies on until the stream ends.
func (t *tokenStream) receive() {
	defer t.end()
	r := bufio.NewReader(t.stream)
	for {
		reply := &forwardpb.Reply{}
		if err := read(r, reply); err != nil {
			return // send and the calls that wait return the error
		}
		if !t.pass(reply) {
			return
		}
	}
}

// pass passes a reply on to the first message without one. It returns false if there is
// none.
func (t *tokenStream) pass(reply *forwardpb.Reply) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		return false
	}
	t.waiting[0] <- reply
	t.waiting = t.waiting[1:]
	return true
}

func (t *tokenStream) end() {
	_ = t.stream.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for _, waiter := range t.waiting {
		close(waiter)
	}
	t.waiting = nil
}

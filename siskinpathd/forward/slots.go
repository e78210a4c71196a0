package forward

import (
	"bufio"
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/mux"
)

// maxSlotBacklog is how many messages may wait for a host that does not read. Beyond it the
// stream is closed.
const maxSlotBacklog = 4096

var errNoSlots = errors.New("the other host does not allocate slots")

// SlotStream carries messages about slots to and from one other host.
type SlotStream struct {
	stream *mux.Stream
	wrap   func(*forwardpb.Slots) proto.Message
	wake   chan struct{} // has an element if there are messages to write

	mu      sync.Mutex
	backlog []*forwardpb.SlotMessage
	closed  bool
}

func newSlotStream(stream *mux.Stream, wrap func(*forwardpb.Slots) proto.Message) *SlotStream {
	return &SlotStream{stream: stream, wrap: wrap, wake: make(chan struct{}, 1)}
}

// Send passes a message on without waiting. Messages after the end of the stream are lost.
func (s *SlotStream) Send(m *forwardpb.SlotMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.backlog = append(s.backlog, m)
	if len(s.backlog) > maxSlotBacklog {
		s.closed = true
		go func() { _ = s.stream.Close() }()
	}
	select {
	case s.wake <- struct{}{}:
	default: // the writer has not taken the last signal yet
	}
}

// Close closes the stream.
func (s *SlotStream) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.stream.Close()
}

// write writes messages until ctx ends, those that wait together as one.
func (s *SlotStream) write(ctx context.Context, timeouts Timeouts) {
	defer s.Close()
	w := bufio.NewWriterSize(progressWriter{s.stream, timeouts.write()}, 1<<10)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		messages, closed := s.backlog, s.closed
		s.backlog = nil
		s.mu.Unlock()
		if closed {
			return
		}
		_, err := protodelim.MarshalTo(w, s.wrap(&forwardpb.Slots{Messages: messages}))
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			return
		}
	}
}

// OpenSlots opens a stream to the allocator at an address. opened is called once the stream
// can be used, and receive for each message. OpenSlots returns when the stream has ended.
func (c *Client) OpenSlots(ctx context.Context, address, self string, opened func(*SlotStream), receive func(*forwardpb.SlotMessage)) (err error) {
	defer func() { err = errors.WithMessagef(err, "slots from %s", address) }()
	session, err := c.session(ctx, address)
	if err != nil {
		return err
	}
	defer c.release(address, session)
	stream, err := session.open(ctx)
	if err != nil {
		return err
	}
	s := newSlotStream(stream, func(m *forwardpb.Slots) proto.Message { return &forwardpb.Request{Slots: m} })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	if _, err = protodelim.MarshalTo(stream, &forwardpb.Request{Slots: &forwardpb.Slots{Host: self}}); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	greeted := false
	for {
		reply := &forwardpb.Reply{}
		if err = read(r, reply); err != nil {
			return err
		}
		if reply.GetSlots() == nil {
			return errNoSlots
		}
		if !greeted { // the allocator's first reply says that it takes messages
			greeted = true
			go s.write(ctx, c.Timeouts)
			opened(s)
		}
		for _, m := range reply.GetSlots().GetMessages() {
			receive(m)
		}
	}
}

// serveSlots serves a stream of another host that asks this one for slots.
func (s *Server) serveSlots(ctx context.Context, stream *mux.Stream, r *bufio.Reader, host string) {
	if s.Slots == nil {
		_, _ = protodelim.MarshalTo(stream, &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN})
		return
	}
	peer := newSlotStream(stream, func(m *forwardpb.Slots) proto.Message { return &forwardpb.Reply{Slots: m} })
	receive, ended := s.Slots(host, peer)
	if receive == nil {
		_, _ = protodelim.MarshalTo(stream, &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN})
		return
	}
	defer ended()
	if _, err := protodelim.MarshalTo(stream, &forwardpb.Reply{Slots: &forwardpb.Slots{}}); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go peer.write(ctx, s.Timeouts)
	for {
		req := &forwardpb.Request{}
		if err := read(r, req); err != nil {
			return
		}
		for _, m := range req.GetSlots().GetMessages() {
			receive(m)
		}
	}
}

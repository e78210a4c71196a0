package forward

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/mux"
)

const (
	// maxConcurrent is the number of requests that are served at the same time.
	maxConcurrent = 256
	// readTimeout is how long another host may take to send the next bytes of a request.
	readTimeout = 5 * clock.Second
	// chunkBytes is how much of a reply the other host has to take within the time-out.
	chunkBytes = 64 << 10
)

// Server takes the requests of other hosts. Set the exported fields before Bind.
type Server struct {
	ListenAddress string
	Log           *slog.Logger
	// Serve returns the reply to a request. ctx is cancelled when the other host gives up, and
	// when the reply has been written.
	Serve func(ctx context.Context, req *forwardpb.Request) *forwardpb.Reply
	// Reserve reserves memory while a request is read. Without it there is no limit.
	Reserve func(bytes int) (release func(), ok bool)
	// Grant returns the reply to a request for tokens. It must not block: such requests
	// do not count towards maxConcurrent. Without it the host is no holder.
	Grant func(*forwardpb.Tokens) *forwardpb.TokensReply
	// Slots begins the exchange of messages about slots with another host. It returns what
	// receives its messages and what is called at the end, or nil if this host takes none.
	Slots func(host string, s *SlotStream) (receive func(*forwardpb.SlotMessage), ended func())

	Timeouts Timeouts

	ln    net.Listener
	slots chan struct{}
}

// Bind opens the listener.
func (s *Server) Bind() (err error) {
	s.slots = make(chan struct{}, maxConcurrent)
	s.ln, err = net.Listen("tcp", s.ListenAddress)
	return errors.WithMessagef(err, "listener for other hosts' requests %s", s.ListenAddress)
}

// Run accepts sessions until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.ln.Close() })
	defer stop()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.Log.Error("listener for other hosts' requests failed", "address", s.ListenAddress, "err", err)
			}
			return
		}
		go s.serveSession(ctx, nc)
	}
}

func (s *Server) serveSession(ctx context.Context, nc net.Conn) {
	session, err := mux.Server(nc, muxConfig(s.Timeouts))
	if err != nil {
		s.Log.Warn("session of another host refused", "peer", nc.RemoteAddr().String(), "err", err)
		_ = nc.Close()
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.Accept(ctx)
		if err != nil {
			return // the other host has closed the session, or is gone
		}
		go s.serveStream(ctx, stream)
	}
}

// serveStream serves one request, or any number of messages for tokens or about slots. The other host
// closes its side of the stream only after it has the reply or has given up.
func (s *Server) serveStream(ctx context.Context, stream *mux.Stream) {
	defer func() { _ = stream.Close() }()
	progress := &progressReader{stream: stream}
	r := bufio.NewReader(progress)
	for s.serveRequest(ctx, stream, progress, r) {
		progress.idle = true
		if _, err := r.Peek(1); err != nil {
			return // the other host has no further messages
		}
		progress.idle = false
	}
}

// serveRequest serves a request, and reports whether another may follow on the stream.
func (s *Server) serveRequest(ctx context.Context, stream *mux.Stream, progress *progressReader, r *bufio.Reader) (more bool) {
	req := &forwardpb.Request{}
	release := func() {}
	err := readReserved(r, req, func(bytes int) (err error) {
		release, err = s.reserve(bytes)
		return err
	})
	release()
	if errors.Is(err, errNoMemory) {
		s.refuse(stream)
		return false
	}
	if err != nil {
		s.Log.Warn("request of another host can't be read", "peer", stream.RemoteAddr().String(), "err", err)
		return false
	}
	stream.SetReadDeadline(time.Time{})
	if req.GetSlots() != nil {
		progress.idle = true
		s.serveSlots(ctx, stream, r, req.GetSlots().GetHost())
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.GetTokens() != nil {
		err = s.write(stream, s.grant(req.GetTokens()))
	} else {
		err = s.serveOne(ctx, cancel, stream, req)
	}
	if err != nil {
		s.Log.Info("reply not delivered to another host", "id", req.GetId(), "peer", stream.RemoteAddr().String(), "err", err)
	}
	return err == nil && req.GetTokens() != nil
}

var errNoMemory = errors.New("no memory for the request of another host")

func (s *Server) reserve(bytes int) (release func(), err error) {
	if s.Reserve == nil {
		return func() {}, nil
	}
	release, ok := s.Reserve(bytes)
	if !ok {
		return func() {}, errNoMemory
	}
	return release, nil
}

// refuse tells the other host that its request was not taken. Nothing of it has been read.
func (s *Server) refuse(stream *mux.Stream) {
	s.Log.Warn("request of another host refused", "peer", stream.RemoteAddr().String(), "err", errNoMemory)
	if err := s.write(stream, notTaken("no_memory")); err != nil {
		s.Log.Info("refusal not delivered to another host", "peer", stream.RemoteAddr().String(), "err", err)
	}
}

func notTaken(reason string) *forwardpb.Reply {
	return &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN, Reason: reason}
}

func (s *Server) write(stream *mux.Stream, reply *forwardpb.Reply) error {
	encoded, err := encode(reply)
	if err != nil {
		return err
	}
	_, err = progressWriter{stream, s.Timeouts.write()}.Write(encoded)
	return err
}

// progressReader reads from a stream as long as there are bytes every readTimeout, or
// without limit between messages.
type progressReader struct {
	stream *mux.Stream
	idle   bool
}

func (r *progressReader) Read(b []byte) (int, error) {
	deadline := time.Time{}
	if !r.idle {
		deadline = time.Now().Add(readTimeout.Duration())
	}
	r.stream.SetReadDeadline(deadline)
	return r.stream.Read(b)
}

// progressWriter writes to a stream as long as the other host takes chunkBytes within a
// time-out. A limit on the whole reply would lose long ones on slow links.
type progressWriter struct {
	stream  *mux.Stream
	timeout time.Duration
}

func (w progressWriter) Write(b []byte) (n int, err error) {
	for chunk := range slices.Chunk(b, chunkBytes) {
		w.stream.SetWriteDeadline(time.Now().Add(w.timeout))
		written, err := w.stream.Write(chunk)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// serveOne serves a request that has been read from a stream, and writes the reply. It calls
// cancel when the other host gives up.
func (s *Server) serveOne(ctx context.Context, cancel func(), stream *mux.Stream, req *forwardpb.Request) error {
	select {
	case s.slots <- struct{}{}:
	default:
		return s.write(stream, notTaken("host_busy"))
	}
	defer func() { <-s.slots }()
	go func() {
		_, _ = io.Copy(io.Discard, stream)
		cancel()
	}()
	return s.write(stream, s.Serve(ctx, req))
}

func (s *Server) grant(tokens *forwardpb.Tokens) *forwardpb.Reply {
	reply := &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN}
	if s.Grant == nil {
		reply.Tokens = &forwardpb.TokensReply{NotHolder: true}
		return reply
	}
	reply.Tokens = s.Grant(tokens)
	return reply
}

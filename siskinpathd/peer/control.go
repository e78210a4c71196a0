package peer

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/peer/peerpb"
)

// SendHeartbeat queues hb for a host. It never blocks; without a link hb is dropped.
func (l *Transport) SendHeartbeat(to membership.Host, hb membership.Heartbeat) {
	l.once.Do(l.start)
	s := l.to(to.ID)
	if s == nil || !s.out.addHeartbeat(heartbeatToWire(hb)) {
		l.count.droppedHeartbeats.Inc()
	}
}

// SendDigest queues d for a host. It never blocks; a digest of the same service
// that still waits is replaced, and without a link d is dropped.
func (l *Transport) SendDigest(hostID, service string, d route.Digest) {
	l.once.Do(l.start)
	s := l.to(hostID)
	if s == nil || !s.out.addDigest(service, d) {
		l.count.droppedDigests.Inc()
	}
}

// FetchUpdates asks a host for its table and assignment when newer than those given.
// It never blocks; an answer comes by OnTableCopy and OnAssignmentCopy, if any.
func (l *Transport) FetchUpdates(hostID string, tableVersion, epoch uint64) {
	l.once.Do(l.start)
	s := l.to(hostID)
	if s == nil {
		l.count.droppedFetches.Inc()
		return
	}
	s.out.addFetch(&peerpb.TableFetch{TableVersion: tableVersion, Epoch: epoch})
}

// writeControl opens this side's control stream and writes what the outbox
// holds until the link ends.
func (s *session) writeControl(ctx context.Context) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	var batch bytes.Buffer
	control := &peerpb.Control{HostId: s.link.Self.ID, Incarnation: uint64(s.link.Self.Incarnation)}
	err = appendFrame(&batch, &peerpb.Open{Kind: &peerpb.Open_Control{Control: control}}, maxControlFrame)
	for err == nil {
		if err = s.flush(stream, &batch); err != nil {
			return
		}
		if err = s.collect(&batch); err == nil && batch.Len() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.out.signal:
			}
		}
	}
}

// collect takes what waits in the outbox, so that it goes out as one write.
func (s *session) collect(batch *bytes.Buffer) error {
	for batch.Len() < maxBatchBytes {
		message := s.out.take()
		if message == nil {
			return nil
		}
		if hb := message.GetHeartbeat(); hb != nil && !s.introduced {
			hb.Self = hostToWire(s.link.Self)
			s.introduced = true
		}
		if err := appendFrame(batch, message, maxControlFrame); err != nil {
			return err
		}
		s.link.count.sent(message)
	}
	return nil
}

func (s *session) flush(stream *yamux.Stream, batch *bytes.Buffer) error {
	if batch.Len() == 0 {
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	n, err := stream.Write(batch.Bytes())
	s.link.count.controlSent.Add(n + muxHeaderBytes)
	if batch.Cap() > maxBatchBytes {
		*batch = bytes.Buffer{} // a copy of the table need not stay in memory
	}
	batch.Reset()
	return err
}

// readControl takes in the other side's control stream until it ends.
func (s *session) readControl(ctx context.Context, r *bufio.Reader, c *peerpb.Control) {
	if !s.controlled.CompareAndSwap(false, true) {
		s.broken(errors.New("second control stream"))
		return
	}
	if err := s.identify(c); err != nil {
		s.end(err)
		return
	}
	host := membership.Host{ID: s.peer.id, Incarnation: s.peer.incarnation}
	for ctx.Err() == nil {
		message := &peerpb.ControlMessage{}
		n, err := readFrame(r, message, maxControlFrame)
		s.link.count.controlReceived.Add(n)
		if err == nil {
			err = s.takeIn(message, &host)
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// end ends the session after its control stream has ended with err.
func (s *session) end(err error) {
	if cutOff(err) || errors.Is(err, errStale) || errors.Is(err, errWrongHost) {
		_ = s.mux.Close()
		return
	}
	s.broken(err)
}

// takeIn hands a control message to its callback. host is the sender as far as
// it has introduced itself.
func (s *session) takeIn(message *peerpb.ControlMessage, host *membership.Host) error {
	l := s.link
	switch kind := message.Kind.(type) {
	case *peerpb.ControlMessage_Heartbeat:
		hb, err := heartbeatFromWire(kind.Heartbeat, host)
		if err != nil {
			return err
		}
		s.heard(hb)
	case *peerpb.ControlMessage_Digest:
		service, d, err := digestFromWire(kind.Digest)
		if err != nil {
			return err
		}
		d.Host = host.ID
		l.OnDigest(host.ID, d, service)
	case *peerpb.ControlMessage_TableFetch:
		s.out.addCopies(l.fitting(l.OnFetch(kind.TableFetch.GetTableVersion(), kind.TableFetch.GetEpoch())))
	case *peerpb.ControlMessage_TableCopy:
		l.OnTableCopy(host.ID, kind.TableCopy.GetVersion(), kind.TableCopy.GetValue())
	case *peerpb.ControlMessage_AssignmentCopy:
		l.OnAssignmentCopy(host.ID, kind.AssignmentCopy.GetEpoch(), kind.AssignmentCopy.GetValue())
	default:
		return errors.New("control message of no known kind")
	}
	return nil
}

// fitting leaves out copies that are larger than a frame may be.
func (l *Transport) fitting(c RowCopies) RowCopies {
	if len(c.Table) > maxTableBytes {
		l.count.droppedCopies.Inc()
		c.Table = nil
	}
	if len(c.Assignment) > maxTableBytes {
		l.count.droppedCopies.Inc()
		c.Assignment = nil
	}
	return c
}

// heard tells a heartbeat, unless a newer incarnation has been identified.
func (s *session) heard(hb membership.Heartbeat) {
	l := s.link
	l.deliver.Lock()
	defer l.deliver.Unlock()
	if !l.newest(s) {
		l.count.staleHeartbeats.Inc()
		return
	}
	l.OnHeartbeat(hb)
}

package peer

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/mux"
	"siskinpath/siskinpathd/peer/peerpb"
)

// SendHeartbeat queues hb for a host. It never blocks. If there is no link to the
// host, hb is dropped and counted.
func (tr *Transport) SendHeartbeat(to membership.Host, hb membership.Heartbeat) {
	tr.once.Do(tr.setDefaults)
	s := tr.sessionTo(to.ID)
	if s == nil || !s.outbox.addHeartbeat(heartbeatToWire(hb)) {
		tr.count.droppedHeartbeats.Inc()
	}
}

// SendDigest queues d for a host. It never blocks. A queued digest of the same
// service is replaced. If there is no link to the host, d is dropped and counted.
func (tr *Transport) SendDigest(hostID, service string, d route.Digest) {
	tr.once.Do(tr.setDefaults)
	s := tr.sessionTo(hostID)
	if s == nil || !s.outbox.addDigest(service, d) {
		tr.count.droppedDigests.Inc()
	}
}

// FetchUpdates asks a host for its table and assignment if they are newer than the
// given versions. It never blocks. Any answer is delivered to OnTableCopy and
// OnAssignmentCopy.
func (tr *Transport) FetchUpdates(hostID string, tableVersion, epoch uint64) {
	tr.once.Do(tr.setDefaults)
	s := tr.sessionTo(hostID)
	if s == nil {
		tr.count.droppedFetches.Inc()
		return
	}
	s.outbox.addFetch(&peerpb.TableFetch{TableVersion: tableVersion, Epoch: epoch})
}

// writeControl opens this side's control stream and writes the messages in the
// outbox until the link ends.
func (s *session) writeControl(ctx context.Context) {
	stream, err := s.mux.Open()
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	var batch bytes.Buffer
	control := &peerpb.Control{HostId: s.transport.Self.ID, Incarnation: uint64(s.transport.Self.Incarnation)}
	err = appendFrame(&batch, &peerpb.Open{Kind: &peerpb.Open_Control{Control: control}}, maxControlFrame)
	for err == nil {
		if err = s.flush(stream, &batch); err != nil {
			return
		}
		if err = s.fillBatch(&batch); err == nil && batch.Len() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.outbox.pending:
			}
		}
	}
}

// fillBatch appends queued messages to batch, so that they are sent in one write.
func (s *session) fillBatch(batch *bytes.Buffer) error {
	for batch.Len() < maxBatchBytes {
		message := s.outbox.take()
		if message == nil {
			return nil
		}
		if hb := message.GetHeartbeat(); hb != nil && !s.selfSent {
			hb.Self = hostToWire(s.transport.Self)
			s.selfSent = true
		}
		if err := appendFrame(batch, message, maxControlFrame); err != nil {
			return err
		}
		s.transport.count.sent(message)
	}
	return nil
}

func (s *session) flush(stream *mux.Stream, batch *bytes.Buffer) error {
	if batch.Len() == 0 {
		return nil
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	n, err := stream.Write(batch.Bytes())
	s.transport.count.controlSent.Add(n + muxHeaderBytes)
	if batch.Cap() > maxBatchBytes {
		*batch = bytes.Buffer{} // releases the memory of a large table copy
	}
	batch.Reset()
	return err
}

// readControl identifies the other side and dispatches the messages of its control
// stream until the stream ends.
func (s *session) readControl(ctx context.Context, r *bufio.Reader, c *peerpb.Control) {
	if !s.controlOpened.CompareAndSwap(false, true) {
		s.closeCorrupt(errors.New("second control stream"))
		return
	}
	if err := s.identify(c); err != nil {
		s.closeAfterError(err)
		return
	}
	host := membership.Host{ID: s.peer.id, Incarnation: s.peer.incarnation}
	for ctx.Err() == nil {
		message := &peerpb.ControlMessage{}
		n, err := readFrame(r, message, maxControlFrame)
		s.transport.count.controlReceived.Add(n)
		if err == nil {
			err = s.dispatch(message, &host)
		}
		if err != nil {
			s.closeAfterError(err)
			return
		}
	}
}

// closeAfterError closes the session after its control stream has failed with err.
// Only an error in the content is counted and logged as a corrupt frame.
func (s *session) closeAfterError(err error) {
	if isTruncation(err) || errors.Is(err, errStale) || errors.Is(err, errWrongHost) {
		_ = s.mux.Close()
		return
	}
	s.closeCorrupt(err)
}

// dispatch passes a control message to its callback. host is the sender. It holds
// only the id and incarnation until the sender's first heartbeat fills in the rest.
func (s *session) dispatch(message *peerpb.ControlMessage, host *membership.Host) error {
	tr := s.transport
	switch kind := message.Kind.(type) {
	case *peerpb.ControlMessage_Heartbeat:
		hb, err := heartbeatFromWire(kind.Heartbeat, host)
		if err != nil {
			return err
		}
		s.deliverHeartbeat(hb)
	case *peerpb.ControlMessage_Digest:
		service, d, err := digestFromWire(kind.Digest)
		if err != nil {
			return err
		}
		d.Host = host.ID
		tr.OnDigest(host.ID, d, service)
	case *peerpb.ControlMessage_TableFetch:
		s.outbox.addCopies(tr.dropOversized(tr.OnFetch(kind.TableFetch.GetTableVersion(), kind.TableFetch.GetEpoch())))
	case *peerpb.ControlMessage_TableCopy:
		tr.OnTableCopy(host.ID, kind.TableCopy.GetVersion(), kind.TableCopy.GetValue())
	case *peerpb.ControlMessage_AssignmentCopy:
		tr.OnAssignmentCopy(host.ID, kind.AssignmentCopy.GetEpoch(), kind.AssignmentCopy.GetValue())
	default:
		return errors.New("control message of unknown kind")
	}
	return nil
}

// dropOversized removes copies larger than maxTableBytes and counts them.
func (tr *Transport) dropOversized(c RowCopies) RowCopies {
	if len(c.Table) > maxTableBytes {
		tr.count.droppedCopies.Inc()
		c.Table = nil
	}
	if len(c.Assignment) > maxTableBytes {
		tr.count.droppedCopies.Inc()
		c.Assignment = nil
	}
	return c
}

// deliverHeartbeat passes hb to OnHeartbeat, unless a newer incarnation of the host
// has been identified.
func (s *session) deliverHeartbeat(hb membership.Heartbeat) {
	tr := s.transport
	tr.deliverMu.Lock()
	defer tr.deliverMu.Unlock()
	if !tr.isNewestIncarnation(s) {
		tr.count.staleHeartbeats.Inc()
		return
	}
	tr.OnHeartbeat(hb)
}

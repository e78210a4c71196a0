package peer

import (
	"sync"

	"siskinpath/core/route"
	"siskinpath/siskinpathd/peer/peerpb"
)

// Limits of an outbox.
const (
	maxQueuedHeartbeats = 4
	maxQueuedDigests    = 256
)

// outbox queues the control messages to be written on one link. Adding a message
// never blocks. A newer digest, fetch or copy replaces a queued one of the same
// service or kind. A full queue drops its oldest heartbeat, and rejects a digest of
// a service that has none queued.
type outbox struct {
	pending chan struct{} // holds a token when there may be a message to write

	mu         sync.Mutex
	heartbeats []*peerpb.Heartbeat
	digests    map[string]route.Digest // by service
	services   []string                // services with a queued digest, oldest first
	fetch      *peerpb.TableFetch
	table      *peerpb.TableCopy
	assignment *peerpb.AssignmentCopy
}

// add runs f under the lock and wakes the writer. f reports whether the outbox
// accepted the message without dropping one. add returns the result of f.
func (o *outbox) add(f func() bool) bool {
	o.mu.Lock()
	accepted := f()
	o.mu.Unlock()
	select {
	case o.pending <- struct{}{}:
	default:
	}
	return accepted
}

func (o *outbox) addHeartbeat(hb *peerpb.Heartbeat) bool {
	return o.add(func() bool {
		o.heartbeats = append(o.heartbeats, hb)
		if len(o.heartbeats) <= maxQueuedHeartbeats {
			return true
		}
		o.heartbeats = o.heartbeats[1:]
		return false
	})
}

func (o *outbox) addDigest(service string, d route.Digest) bool {
	return o.add(func() bool {
		_, queued := o.digests[service]
		if !queued && len(o.services) >= maxQueuedDigests {
			return false
		}
		if o.digests == nil {
			o.digests = map[string]route.Digest{}
		}
		if !queued {
			o.services = append(o.services, service)
		}
		o.digests[service] = d
		return true
	})
}

func (o *outbox) addFetch(f *peerpb.TableFetch) {
	o.add(func() bool { o.fetch = f; return true })
}

func (o *outbox) addCopies(c RowCopies) {
	o.add(func() bool {
		if c.Table != nil {
			o.table = &peerpb.TableCopy{Version: c.TableVersion, Value: c.Table}
		}
		if c.Assignment != nil {
			o.assignment = &peerpb.AssignmentCopy{Epoch: c.Epoch, Value: c.Assignment}
		}
		return true
	})
}

// take removes and returns the next message to write, the most urgent kind first.
// It returns nil if the outbox is empty.
func (o *outbox) take() *peerpb.ControlMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(o.heartbeats) > 0:
		hb := o.heartbeats[0]
		o.heartbeats = o.heartbeats[1:]
		return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_Heartbeat{Heartbeat: hb}}
	case len(o.services) > 0:
		return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_Digest{Digest: o.takeDigest()}}
	case o.fetch != nil:
		f := o.fetch
		o.fetch = nil
		return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_TableFetch{TableFetch: f}}
	case o.assignment != nil:
		a := o.assignment
		o.assignment = nil
		return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_AssignmentCopy{AssignmentCopy: a}}
	case o.table != nil:
		t := o.table
		o.table = nil
		return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_TableCopy{TableCopy: t}}
	}
	return nil
}

func (o *outbox) takeDigest() *peerpb.Digest {
	service := o.services[0]
	o.services = o.services[1:]
	d := o.digests[service]
	delete(o.digests, service)
	return digestToWire(service, d)
}

package peer

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/peer/peerpb"
)

// Limits of frames and their contents, and the size of the yamux header.
const (
	maxTableBytes        = 1 << 20
	maxControlFrame      = maxTableBytes + 4<<10
	maxBatchBytes        = 16 << 10  // size from which no further control message is added to a write
	maxCallOverheadBytes = 256 << 10 // URI, headers and other fields of a call, without its body
	maxGossipEntries     = 4096
	maxDeaths            = 4096
	muxHeaderBytes       = 12
)

var errTooLarge = errors.New("message exceeds the frame limit")

func (tr *Transport) maxCallFrame() int { return tr.MaxBodyBytes + maxCallOverheadBytes }

// writeFrame writes m, preceded by its length, in one Write and returns the number
// of bytes sent on the link, including the yamux header. If it returns errTooLarge,
// nothing was written.
func writeFrame(w io.Writer, m proto.Message, limit int) (n int, err error) {
	var b bytes.Buffer
	if err := appendFrame(&b, m, limit); err != nil {
		return 0, err
	}
	n, err = w.Write(b.Bytes())
	return n + muxHeaderBytes, err
}

// appendFrame appends m, preceded by its length, to b. It leaves b unchanged if it
// returns an error.
func appendFrame(b *bytes.Buffer, m proto.Message, limit int) error {
	if proto.Size(m) > limit {
		return errTooLarge
	}
	before := b.Len()
	if _, err := protodelim.MarshalTo(b, m); err != nil {
		b.Truncate(before)
		return err
	}
	return nil
}

// readFrame reads one message of at most limit bytes into m and returns its size on
// the link. The size includes one yamux header, as if the message had been sent in
// a yamux frame of its own.
func readFrame(r *bufio.Reader, m proto.Message, limit int) (n int, err error) {
	options := protodelim.UnmarshalOptions{MaxSize: int64(limit)}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return 0, err
	}
	size := proto.Size(m)
	return size + varintBytes(size) + muxHeaderBytes, nil
}

func varintBytes(size int) int {
	n := 1
	for ; size >= 0x80; size >>= 7 {
		n++
	}
	return n
}

func hostToWire(h membership.Host) *peerpb.Host {
	return &peerpb.Host{
		Id:               h.ID,
		Incarnation:      uint64(h.Incarnation),
		AvailabilityZone: h.AvailabilityZone,
		PeerAddress:      h.PeerAddress,
		CallerAddress:    h.CallerAddress,
		OperatorAddress:  h.OperatorAddress,
	}
}

func hostFromWire(w *peerpb.Host) (h membership.Host, err error) {
	for _, a := range []string{w.GetPeerAddress(), w.GetCallerAddress(), w.GetOperatorAddress()} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return h, err
		}
	}
	return membership.Host{
		ID:               w.GetId(),
		Incarnation:      membership.Incarnation(w.GetIncarnation()),
		AvailabilityZone: w.GetAvailabilityZone(),
		PeerAddress:      w.GetPeerAddress(),
		CallerAddress:    w.GetCallerAddress(),
		OperatorAddress:  w.GetOperatorAddress(),
	}, nil
}

func heartbeatToWire(hb membership.Heartbeat) *peerpb.Heartbeat {
	w := &peerpb.Heartbeat{
		Incarnation:   uint64(hb.From.Incarnation),
		Sequence:      hb.Sequence,
		Epoch:         hb.Epoch,
		TableVersion:  hb.TableVersion,
		KeyWindow:     hb.KeyWindow,
		Leaving:       hb.Leaving,
		PlatformAgeMs: int64(hb.PlatformAge),
	}
	for _, k := range hb.Gossip {
		w.Known = append(w.Known, gossipEntryToWire(k))
	}
	for _, d := range hb.Dead {
		w.Dead = append(w.Dead, &peerpb.Death{Id: d.ID, Incarnation: uint64(d.Incarnation)})
	}
	return w
}

func gossipEntryToWire(k membership.GossipEntry) *peerpb.Known {
	age := min(max(k.Age, 0), math.MaxUint32)
	return &peerpb.Known{
		Id:           k.Host.ID,
		Incarnation:  uint64(k.Host.Incarnation),
		Sequence:     k.Sequence,
		Epoch:        k.Epoch,
		TableVersion: k.TableVersion,
		KeyWindow:    k.KeyWindow,
		Leaving:      k.Leaving,
		AgeMs:        uint32(age),
	}
}

// heartbeatFromWire validates and converts a heartbeat. host is its sender. A
// heartbeat with a Self field fills in the addresses and zone of host.
func heartbeatFromWire(w *peerpb.Heartbeat, host *membership.Host) (hb membership.Heartbeat, err error) {
	defer func() { err = errors.WithMessage(err, "heartbeat") }()
	if w.GetSelf() != nil {
		self, err := hostFromWire(w.GetSelf())
		if err != nil {
			return hb, err
		}
		if self.ID != host.ID || self.Incarnation != host.Incarnation {
			return hb, errors.New("self is not the host and incarnation that the link was opened for")
		}
		*host = self
	}
	if w.GetIncarnation() != uint64(host.Incarnation) || w.GetPlatformAgeMs() < -1 {
		return hb, errors.New("incarnation differs from the link's, or platform age below -1")
	}
	if len(w.GetKnown()) > maxGossipEntries || len(w.GetDead()) > maxDeaths {
		return hb, errors.New("too many hosts or deaths")
	}
	hb = membership.Heartbeat{
		From:         *host,
		Sequence:     w.GetSequence(),
		Epoch:        w.GetEpoch(),
		TableVersion: w.GetTableVersion(),
		KeyWindow:    w.GetKeyWindow(),
		Leaving:      w.GetLeaving(),
		PlatformAge:  clock.Millis(w.GetPlatformAgeMs()),
	}
	return hb, gossipFromWire(w, &hb)
}

// gossipFromWire converts the part of a heartbeat that concerns other hosts.
func gossipFromWire(w *peerpb.Heartbeat, hb *membership.Heartbeat) error {
	for _, k := range w.GetKnown() {
		if k.GetId() == "" || k.GetIncarnation() == 0 {
			return errors.New("gossip entry without host id or incarnation")
		}
		hb.Gossip = append(hb.Gossip, gossipEntryFromWire(k))
	}
	for _, d := range w.GetDead() {
		if d.GetId() == "" || d.GetIncarnation() == 0 {
			return errors.New("death without host id or incarnation")
		}
		hb.Dead = append(hb.Dead, membership.Death{ID: d.GetId(), Incarnation: membership.Incarnation(d.GetIncarnation())})
	}
	return nil
}

func gossipEntryFromWire(k *peerpb.Known) membership.GossipEntry {
	return membership.GossipEntry{
		Host:         membership.Host{ID: k.GetId(), Incarnation: membership.Incarnation(k.GetIncarnation())},
		Sequence:     k.GetSequence(),
		Epoch:        k.GetEpoch(),
		TableVersion: k.GetTableVersion(),
		KeyWindow:    k.GetKeyWindow(),
		Leaving:      k.GetLeaving(),
		Age:          clock.Millis(k.GetAgeMs()),
	}
}

func digestToWire(service string, d route.Digest) *peerpb.Digest {
	return &peerpb.Digest{
		Service: service,
		Free:    clampCount(d.Free),
		Queued:  clampCount(d.Queued),
		Slots:   clampCount(d.Slots),
	}
}

// clampCount limits a count to the range that digestFromWire accepts.
func clampCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func digestFromWire(w *peerpb.Digest) (service string, d route.Digest, err error) {
	d = route.Digest{Free: int(w.GetFree()), Queued: int(w.GetQueued()), Slots: int(w.GetSlots())}
	if w.GetService() == "" || max(d.Free, d.Queued, d.Slots) > math.MaxInt32 {
		return "", d, errors.New("digest without service or with counts out of range")
	}
	return w.GetService(), d, nil
}

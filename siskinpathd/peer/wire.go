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

// Bounds of frames, and what a frame costs beside its message.
const (
	maxTableBytes     = 1 << 20
	maxControlFrame   = maxTableBytes + 4<<10
	maxBatchBytes     = 16 << 10  // of control messages written at once, if there are several
	maxCallExtraBytes = 256 << 10 // headers, uri and the rest of a call beside its body
	maxKnown          = 4096
	maxDead           = 4096
	muxHeaderBytes    = 12
)

var errTooLarge = errors.New("message larger than a frame may be")

func (l *Transport) maxCallFrame() int { return l.MaxBodyBytes + maxCallExtraBytes }

// writeFrame writes m with its length before it, in one Write, and gives the
// bytes that this costs on the link. errTooLarge means that nothing was written.
func writeFrame(w io.Writer, m proto.Message, limit int) (n int, err error) {
	var b bytes.Buffer
	if err := appendFrame(&b, m, limit); err != nil {
		return 0, err
	}
	n, err = w.Write(b.Bytes())
	return n + muxHeaderBytes, err
}

// appendFrame appends m with its length before it; after an error b is as it was.
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

// readFrame reads one message of at most limit bytes into m and gives its bytes
// on the link, with the transport's header as if it had come alone.
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
		w.Known = append(w.Known, knownToWire(k))
	}
	for _, d := range hb.Dead {
		w.Dead = append(w.Dead, &peerpb.Death{Id: d.ID, Incarnation: uint64(d.Incarnation)})
	}
	return w
}

func knownToWire(k membership.GossipEntry) *peerpb.Known {
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

// heartbeatFromWire checks and converts a heartbeat. host is its sender; a
// heartbeat that introduces the sender fills it in.
func heartbeatFromWire(w *peerpb.Heartbeat, host *membership.Host) (hb membership.Heartbeat, err error) {
	defer func() { err = errors.WithMessage(err, "heartbeat") }()
	if w.GetSelf() != nil {
		self, err := hostFromWire(w.GetSelf())
		if err != nil {
			return hb, err
		}
		if self.ID != host.ID || self.Incarnation != host.Incarnation {
			return hb, errors.New("introduces another host than the link's")
		}
		*host = self
	}
	if w.GetIncarnation() != uint64(host.Incarnation) || w.GetPlatformAgeMs() < -1 {
		return hb, errors.New("of another incarnation than the link's, or of no possible age")
	}
	if len(w.GetKnown()) > maxKnown || len(w.GetDead()) > maxDead {
		return hb, errors.New("too long")
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
	return hb, newsFromWire(w, &hb)
}

// newsFromWire takes over what a heartbeat says of other hosts.
func newsFromWire(w *peerpb.Heartbeat, hb *membership.Heartbeat) error {
	for _, k := range w.GetKnown() {
		if k.GetId() == "" || k.GetIncarnation() == 0 {
			return errors.New("knows a nameless host")
		}
		hb.Gossip = append(hb.Gossip, knownFromWire(k))
	}
	for _, d := range w.GetDead() {
		if d.GetId() == "" || d.GetIncarnation() == 0 {
			return errors.New("knows the death of a nameless host")
		}
		hb.Dead = append(hb.Dead, membership.Death{ID: d.GetId(), Incarnation: membership.Incarnation(d.GetIncarnation())})
	}
	return nil
}

func knownFromWire(k *peerpb.Known) membership.GossipEntry {
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
		Free:    amount(d.Free),
		Queued:  amount(d.Queued),
		Slots:   amount(d.Slots),
	}
}

// amount keeps a count within what the wire holds.
func amount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func digestFromWire(w *peerpb.Digest) (service string, d route.Digest, err error) {
	d = route.Digest{Free: int(w.GetFree()), Queued: int(w.GetQueued()), Slots: int(w.GetSlots())}
	if w.GetService() == "" || max(d.Free, d.Queued, d.Slots) > math.MaxInt32 {
		return "", d, errors.New("digest of no service or with impossible counts")
	}
	return w.GetService(), d, nil
}

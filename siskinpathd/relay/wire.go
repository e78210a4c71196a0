package relay

import (
	"bufio"
	"encoding/binary"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// maxMessageBytes limits a message of a peer. It has room for a full table of a
	// few thousand rows.
	maxMessageBytes = 16 << 20
	// readBufferBytes is the size of a session's read buffer.
	readBufferBytes = 4096
)

// reader reads the messages of a session. It fails when the peer sends nothing for
// overlay.SessionTimeout.
type reader struct {
	nc net.Conn
	r  *bufio.Reader
}

func newReader(nc net.Conn) *reader {
	return &reader{nc: nc, r: bufio.NewReaderSize(nc, readBufferBytes)}
}

func (r *reader) read(m proto.Message) (err error) {
	if err = r.nc.SetReadDeadline(time.Now().Add(overlay.SessionTimeout.Duration())); err != nil {
		return err
	}
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r.r, m)
}

// write sends a message with its length prefix.
func write(nc net.Conn, m proto.Message) error { return writeBytes(nc, encode(m)) }

func writeBytes(nc net.Conn, b []byte) (err error) {
	if err = nc.SetWriteDeadline(time.Now().Add(overlay.SessionTimeout.Duration())); err != nil {
		return err
	}
	_, err = nc.Write(b)
	return err
}

// encode returns a message with its length prefix.
func encode(m proto.Message) []byte { return frame(marshal(m), nil) }

// marshal returns a message without its length prefix.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // fails only for a missing required field or a string that is not valid UTF-8
	}
	return b
}

// frame returns an encoded message with its length prefix and further encoded fields.
func frame(body, fields []byte) []byte {
	size := len(body) + len(fields)
	b := protowire.AppendVarint(make([]byte, 0, size+binary.MaxVarintLen32), uint64(size))
	return append(append(b, body...), fields...)
}

// echoField is the number of FromWatcher.echo_ms.
const echoField = 7

// encodeEcho returns the encoded field FromWatcher.echo_ms. It is the only part of an
// announcement that differs between subscribers.
func encodeEcho(sent int64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, echoField, protowire.VarintType), uint64(sent))
}

func hostToWire(h overlay.Host) *relaypb.Host {
	return &relaypb.Host{
		Id: h.ID, Incarnation: h.Incarnation, AvailabilityZone: h.AvailabilityZone,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, ForwardAddress: h.ForwardAddress, Ready: h.Ready, Capacity: uint32(h.Capacity),
	}
}

func hostFromWire(h *relaypb.Host) overlay.Host {
	return overlay.Host{
		ID: h.GetId(), Incarnation: h.GetIncarnation(), AvailabilityZone: h.GetAvailabilityZone(),
		CallerAddress: h.GetCallerAddress(), PeerAddress: h.GetPeerAddress(), ForwardAddress: h.GetForwardAddress(), Ready: h.GetReady(), Capacity: int(h.GetCapacity()),
	}
}

func knownToWire(table string, at revision.Revision, age tableAge) *relaypb.Known {
	ageMs, provenMs := uint32(min(age.age, overlay.UnknownAge)), uint32(min(age.proven, overlay.UnknownAge))
	return &relaypb.Known{Table: table, Version: at.Version, Era: &at.Era, AgeMs: &ageMs, ProvenAgeMs: &provenMs}
}

// ageFromWire returns the age that a source has sent of its copy of a table. Sources of
// older releases send none; they have every change unless they have lost the store.
func ageFromWire(k *relaypb.Known, storeLost bool) clock.Millis {
	if k.AgeMs != nil {
		return clock.Millis(k.GetAgeMs())
	}
	if storeLost {
		return overlay.UnknownAge
	}
	return 0
}

// revisionFromWire returns a revision that a peer has sent about t. Peers of older
// releases send no era, which means the era of t.
func revisionFromWire(t watch.Replica, era *int64, version int64) revision.Revision {
	if era != nil {
		return revision.Revision{Era: *era, Version: version}
	}
	own, _ := t.Revision()
	return revision.Revision{Era: own.Era, Version: version}
}

func updateToWire(u watch.Update) *relaypb.Update {
	w := &relaypb.Update{Table: u.Table, Version: u.Revision.Version, Base: u.Base.Version, Whole: u.Full, Era: &u.Revision.Era}
	for _, r := range u.Rows {
		w.Rows = append(w.Rows, &relaypb.Row{Key: r.Key, Value: r.Value, Removed: r.Removed, Missing: r.Missing, Version: r.Revision.Version})
	}
	return w
}

// updateFromWire returns an update of t that a peer has sent. All its rows are of one
// era.
func updateFromWire(t watch.Replica, w *relaypb.Update) watch.Update {
	at := func(version int64) revision.Revision { return revisionFromWire(t, w.Era, version) }
	u := watch.Update{Table: w.GetTable(), Revision: at(w.GetVersion()), Base: at(w.GetBase()), Full: w.GetWhole()}
	for _, r := range w.GetRows() {
		u.Rows = append(u.Rows, watch.Row{Key: r.GetKey(), Value: r.GetValue(), Removed: r.GetRemoved(), Missing: r.GetMissing(), Revision: at(r.GetVersion())})
	}
	return u
}

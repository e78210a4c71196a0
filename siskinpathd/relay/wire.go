package relay

import (
	"bufio"
	"encoding/binary"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/overlay"
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
func encode(m proto.Message) []byte {
	size := proto.Size(m)
	b := protowire.AppendVarint(make([]byte, 0, size+binary.MaxVarintLen32), uint64(size))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		panic(err) // fails only for a missing required field or a string that is not valid UTF-8
	}
	return b
}

func hostToWire(h overlay.Host) *relaypb.Host {
	return &relaypb.Host{
		Id: h.ID, Incarnation: h.Incarnation, AvailabilityZone: h.AvailabilityZone,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Ready: h.Ready, Capacity: uint32(h.Capacity),
	}
}

func hostFromWire(h *relaypb.Host) overlay.Host {
	return overlay.Host{
		ID: h.GetId(), Incarnation: h.GetIncarnation(), AvailabilityZone: h.GetAvailabilityZone(),
		CallerAddress: h.GetCallerAddress(), PeerAddress: h.GetPeerAddress(), Ready: h.GetReady(), Capacity: int(h.GetCapacity()),
	}
}

func updateToWire(u watch.Update) *relaypb.Update {
	w := &relaypb.Update{Table: u.Table, Version: u.Version, Base: u.Base, Whole: u.Full}
	for _, r := range u.Rows {
		w.Rows = append(w.Rows, &relaypb.Row{Key: r.Key, Value: r.Value, Removed: r.Removed, Missing: r.Missing, Version: r.Version})
	}
	return w
}

func updateFromWire(w *relaypb.Update) watch.Update {
	u := watch.Update{Table: w.GetTable(), Version: w.GetVersion(), Base: w.GetBase(), Full: w.GetWhole()}
	for _, r := range w.GetRows() {
		u.Rows = append(u.Rows, watch.Row{Key: r.GetKey(), Value: r.GetValue(), Removed: r.GetRemoved(), Missing: r.GetMissing(), Version: r.GetVersion()})
	}
	return u
}

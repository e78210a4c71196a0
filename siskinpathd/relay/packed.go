package relay

import (
	"bytes"
	"crypto/sha256"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// minPackedBytes is the size of the rows of an update from which they are compressed.
	minPackedBytes = 1024
	// maxRowsBytes limits the rows of an update after they are unpacked.
	maxRowsBytes = maxMessageBytes
)

var (
	updatesPacked  = metrics.NewCounter("relay_updates_packed_total")
	updatesRefused = metrics.NewCounter("relay_updates_refused_total")
)

// packer compresses updates. It keeps the last one of each table: most subscribers fetch the
// same changes at about the same time.
type packer struct {
	mu   sync.Mutex
	last map[string]*packedRows
}

// packedRows is the compressed form of an update's rows.
type packedRows struct {
	base, at revision.Revision
	full     bool
	once     sync.Once
	update   *relaypb.Update // only the fields of the compressed form; nil if it is no smaller
}

// pack returns the message for u with its rows compressed if that makes it smaller.
func (p *packer) pack(u watch.Update) *relaypb.Update {
	w := updateToWire(u)
	if proto.Size(w) < minPackedBytes {
		return w
	}
	rows := p.rows(u)
	rows.once.Do(func() { rows.update = packRows(w.GetRows()) })
	if rows.update == nil {
		return w
	}
	updatesPacked.Inc()
	w.Rows, w.PackedRows, w.RowsSize, w.RowsHash = nil, rows.update.GetPackedRows(), rows.update.GetRowsSize(), rows.update.GetRowsHash()
	return w
}

// rows returns the last packed rows of a table if they are those of u, and new ones if not.
func (p *packer) rows(u watch.Update) *packedRows {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[u.Table]
	if last != nil && last.base == u.Base && last.at == u.Revision && last.full == u.Full {
		return last
	}
	if p.last == nil {
		p.last = map[string]*packedRows{}
	}
	last = &packedRows{base: u.Base, at: u.Revision, full: u.Full}
	p.last[u.Table] = last
	return last
}

// encoders holds idle encoders, whose tables are large.
var encoders = sync.Pool{New: func() any {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // fails only for invalid options
	}
	return e
}}

// packRows returns nil if the rows do not become smaller, or are too many to be unpacked.
func packRows(rows []*relaypb.Row) *relaypb.Update {
	b := marshal(&relaypb.Rows{Rows: rows})
	if len(b) > maxRowsBytes {
		return nil
	}
	e, _ := encoders.Get().(*zstd.Encoder)
	defer encoders.Put(e)
	packed := e.EncodeAll(b, nil)
	if len(packed) >= len(b) {
		return nil
	}
	hash := sha256.Sum256(b)
	return &relaypb.Update{PackedRows: packed, RowsSize: uint32(len(b)), RowsHash: hash[:]}
}

// decoder returns the decoder of all sessions. It writes no more than the capacity of its
// destination.
var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecodeAllCapLimit(true), zstd.WithDecoderMaxMemory(maxRowsBytes))
	if err != nil {
		panic(err) // fails only for invalid options
	}
	return d
})

// unpack replaces the compressed rows of an update by the rows. It changes nothing if they are
// not what the update says.
func unpack(w *relaypb.Update) (err error) {
	defer func() { err = errors.WithMessagef(err, "packed rows of %q", w.GetTable()) }()
	if len(w.GetPackedRows()) == 0 {
		return nil
	}
	size := w.GetRowsSize()
	if size > maxRowsBytes {
		return errors.Errorf("%d bytes are above the limit of %d", size, maxRowsBytes)
	}
	b, err := decoder().DecodeAll(w.GetPackedRows(), make([]byte, 0, size))
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return errors.Errorf("more than the stated %d bytes", size)
	}
	if err != nil {
		return err
	}
	if len(b) != int(size) {
		return errors.Errorf("%d bytes in place of the stated %d", len(b), size)
	}
	if hash := sha256.Sum256(b); !bytes.Equal(hash[:], w.GetRowsHash()) {
		return errors.New("the hash does not fit")
	}
	rows := &relaypb.Rows{}
	if err = proto.Unmarshal(b, rows); err != nil {
		return err
	}
	w.Rows, w.PackedRows = rows.GetRows(), nil
	return nil
}

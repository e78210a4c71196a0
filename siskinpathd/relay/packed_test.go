package relay

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

// manyRoutes returns a row that looks like a configuration of n routes.
func manyRoutes(n int, changed string) []byte {
	var b strings.Builder
	for i := range n {
		hash := sha256.Sum256(fmt.Append(nil, i))
		fmt.Fprintf(&b, `{"entry_kind":"routes","metadata":{"name":"r-%x"},"spec":{"host":"%x.example","prefix":"/%x/","kind":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"web","max_attempts":2}},`,
			hash[:4], hash[4:7], hash[7:10])
	}
	return append([]byte(changed), b.String()...)
}

// readRow merges a row into the table of a host.
func (h *provenHost) readRow(at revision.Revision, value []byte) {
	own, _ := h.table.Revision()
	So(h.table.Merge(watch.Update{Revision: at, Base: own, Rows: []watch.Row{{Key: "k", Value: value, Revision: at}}}), ShouldBeTrue)
}

// replyTo returns the source's reply to a fetch.
func (l *link) replyTo(f *relaypb.Fetch) *relaypb.FromWatcher {
	l.source.handleMessage(l.subscriber, &relaypb.FromListener{Fetches: []*relaypb.Fetch{f}})
	return l.sent()
}

// row returns the value of the row that a table holds.
func row(t *watch.Table[string]) []byte {
	u, ok := t.ChangesSince(revision.Revision{Version: -1})
	So(ok, ShouldBeTrue)
	So(u.Rows, ShouldHaveLength, 1)
	return u.Rows[0].Value
}

// withinBytes checks that a message takes no more than limit bytes on a link.
func withinBytes(m proto.Message, limit int) { So(proto.Size(m), ShouldBeLessThan, limit) }

// TestRowTravelsCompressed guards against a change of one route that takes as much of a link as
// the whole configuration as it is stored.
func TestRowTravelsCompressed(t *testing.T) {
	Convey("a change of one route of 1,400", t, func() {
		old, changed := manyRoutes(1400, "1"), manyRoutes(1400, "2")
		listener := newProvenHost("l", 0, at(7))
		l := addSource(listener, "a", at(7))
		listener.readRow(at(8), old)
		l.source.readRow(at(8), old)
		l.source.readRow(at(9), changed)
		l.deliver(l.announce())
		fetches := l.fetched()
		So(fetches, ShouldHaveLength, 1)
		f := fetches[0]
		Convey("takes an eighth of the row's size or less", func() {
			m := l.replyTo(f)
			withinBytes(m, len(changed)/8)
			So(listener.handleUpdates(l.session, m), ShouldBeNil)
			So(bytes.Equal(row(listener.table), changed), ShouldBeTrue)
			listener.monotonic.Advance(300)
			report := listener.Report()["t"]
			So(report.From, ShouldEqual, "a")
			So(report.Version, ShouldEqual, 9)
			So(report.Bytes, ShouldBeBetween, 1, len(changed)/8)
			So(report.ReceivedMsAgo, ShouldEqual, 300)
			listener.readRow(at(10), old)
			report = listener.Report()["t"]
			So(report.Version, ShouldEqual, 10)
			So(report.From, ShouldBeEmpty) // from the store
		})
		Convey("is sent as it is to a host of an older release", func() {
			f.ReadsPacked = false
			m := l.replyTo(f)
			So(m.GetUpdates()[0].GetPackedRows(), ShouldBeEmpty)
			So(bytes.Equal(m.GetUpdates()[0].GetRows()[0].GetValue(), changed), ShouldBeTrue)
		})
		Convey("is taken as it is from a host of an older release", func() {
			m := l.announce()
			u, _ := l.source.table.ChangesSince(at(8))
			m.Updates = []*relaypb.Update{updateToWire(u)}
			So(listener.handleUpdates(l.session, m), ShouldBeNil)
			So(bytes.Equal(row(listener.table), changed), ShouldBeTrue)
		})
		Convey("is compressed once for all that have the version before", func() {
			u, _ := l.source.table.ChangesSince(at(8))
			first, second := l.source.packer.pack(u), l.source.packer.pack(u)
			So(&first.PackedRows[0] == &second.PackedRows[0], ShouldBeTrue)
		})
		Convey("that is older than the one held is ignored", func() {
			m := l.replyTo(f)
			newest := manyRoutes(1400, "3")
			listener.readRow(at(10), newest)
			So(listener.handleUpdates(l.session, m), ShouldBeNil)
			So(bytes.Equal(row(listener.table), newest), ShouldBeTrue)
		})
		Convey("of another era is ignored, as changes of another era leave a gap", func() {
			m := l.replyTo(f)
			era := int64(1)
			m.Updates[0].Era = &era
			So(listener.handleUpdates(l.session, m), ShouldBeNil)
			So(bytes.Equal(row(listener.table), old), ShouldBeTrue)
		})
		for name, spoil := range map[string]struct {
			change func(u *relaypb.Update)
			want   string
		}{
			"cut":                                  {func(u *relaypb.Update) { u.PackedRows = u.PackedRows[:len(u.PackedRows)/2] }, "EOF"},
			"not compressed at all":                {func(u *relaypb.Update) { u.PackedRows = []byte("GET / HTTP/1.1") }, "magic number"},
			"with a changed bit":                   {func(u *relaypb.Update) { u.PackedRows[len(u.PackedRows)/2] ^= 1 }, "packed rows"},
			"with a hash that does not fit":        {func(u *relaypb.Update) { u.RowsHash = make([]byte, sha256.Size) }, "the hash does not fit"},
			"without a hash":                       {func(u *relaypb.Update) { u.RowsHash = nil }, "the hash does not fit"},
			"that grows beyond its stated size":    {func(u *relaypb.Update) { u.RowsSize-- }, "more than the stated"},
			"that is smaller than its stated size": {func(u *relaypb.Update) { u.RowsSize++ }, "in place of the stated"},
			"that states a size above the limit":   {func(u *relaypb.Update) { u.RowsSize = maxRowsBytes + 1 }, "above the limit"},
			"whose rows are no rows":               {func(u *relaypb.Update) { pack(u, []byte("\xff\xff\xff")) }, "packed rows"},
			"that unpacks to more than the limit":  {func(u *relaypb.Update) { pack(u, make([]byte, maxRowsBytes+1)) }, "above the limit"},
		} {
			Convey("that comes "+name+" is refused with one line, and fetched again as it is", func() {
				var log bytes.Buffer
				listener.Log = slog.New(slog.NewTextHandler(&log, nil))
				m := l.replyTo(f)
				u := proto.CloneOf(m.GetUpdates()[0])
				spoil.change(u)
				m.Updates[0] = u
				l.fetched() // repeats, if the reply took longer than fetchTimeout to make
				So(listener.handleUpdates(l.session, m), ShouldBeNil)
				So(strings.Count(log.String(), "\n"), ShouldEqual, 1)
				So(log.String(), ShouldContainSubstring, "update refused")
				So(log.String(), ShouldContainSubstring, spoil.want)
				So(bytes.Equal(row(listener.table), old), ShouldBeTrue)
				l.deliver(m)
				again := l.fetched()
				So(again, ShouldHaveLength, 1)
				So(again[0].GetReadsPacked(), ShouldBeFalse)
				So(listener.handleUpdates(l.session, l.replyTo(again[0])), ShouldBeNil)
				So(bytes.Equal(row(listener.table), changed), ShouldBeTrue)
			})
		}
	})
}

// pack sets the packed rows of an update to the compressed form of b.
func pack(u *relaypb.Update, b []byte) {
	e, err := zstd.NewWriter(nil)
	So(err, ShouldBeNil)
	hash := sha256.Sum256(b)
	u.PackedRows, u.RowsSize, u.RowsHash = e.EncodeAll(b, nil), uint32(len(b)), hash[:]
}

func TestPackedRowsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := watch.Update{Table: "t", Revision: at(9), Base: at(7)}
		for i := range rapid.IntRange(0, 5).Draw(t, "rows") {
			value := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "value"), rapid.IntRange(1, 100).Draw(t, "times"))
			u.Rows = append(u.Rows, watch.Row{Key: fmt.Sprint(i), Value: value, Removed: rapid.Bool().Draw(t, "removed"), Revision: at(int64(i))})
		}
		p := packer{}
		packed := proto.CloneOf(p.pack(u))
		if err := unpack(packed); err != nil {
			t.Fatal(err)
		}
		packed.RowsSize, packed.RowsHash = 0, nil
		if !proto.Equal(packed, updateToWire(u)) {
			t.Fatal("the rows differ")
		}
	})
}

func FuzzUnpack(f *testing.F) {
	seed := packRows([]*relaypb.Row{{Key: "k", Value: manyRoutes(20, "")}})
	f.Add(seed.GetPackedRows(), seed.GetRowsSize(), seed.GetRowsHash())
	f.Add([]byte("\x28\xb5\x2f\xfd"), uint32(10), []byte(nil))
	f.Fuzz(func(t *testing.T, packed []byte, size uint32, hash []byte) {
		u := &relaypb.Update{PackedRows: packed, RowsSize: size, RowsHash: hash}
		if unpack(u) != nil && (len(u.GetRows()) > 0 || !bytes.Equal(u.GetPackedRows(), packed)) {
			t.Fatal("a refused update was changed")
		}
	})
}

package peer

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/smartystreets/goconvey/convey"
)

// recordingConn records each write separately.
type recordingConn struct {
	net.Conn
	writes [][]byte
	fail   error
}

func (r *recordingConn) Write(b []byte) (int, error) {
	if r.fail != nil {
		return 0, r.fail
	}
	r.writes = append(r.writes, bytes.Clone(b))
	return len(b), nil
}

func (r *recordingConn) SetWriteDeadline(time.Time) error { return nil }

func header(kind, length byte) []byte { return []byte{0, kind, 0, 0, 0, 0, 0, 2, 0, 0, 0, length} }

func TestCountedConn(t *testing.T) {
	convey.Convey("a connection", t, func() {
		r := &recordingConn{}
		count := newCounters(metrics.NewSet())
		c := &countingConn{Conn: r, count: &count}
		write := func(b []byte) {
			n, err := c.Write(b)
			convey.So(err, convey.ShouldBeNil)
			convey.So(n, convey.ShouldEqual, len(b))
		}
		convey.Convey("writes each header together with its body", func() {
			for range 3 {
				write(header(muxTypeData, 3))
				write([]byte("abc"))
			}
			want := append(header(muxTypeData, 3), "abc"...)
			convey.So(r.writes, convey.ShouldResemble, [][]byte{want, want, want})
			convey.So(count.linkSent.Get(), convey.ShouldEqual, 45)
		})
		convey.Convey("writes a header without a body at once", func() {
			write(header(muxTypeData, 0))
			write(header(1, 7)) // a window update: the length is the window
			convey.So(r.writes, convey.ShouldResemble, [][]byte{header(muxTypeData, 0), header(1, 7)})
		})
		convey.Convey("treats a body that looks like a header as a body", func() {
			write(header(muxTypeData, 12))
			write(header(muxTypeData, 9))
			convey.So(r.writes, convey.ShouldResemble, [][]byte{append(header(muxTypeData, 12), header(muxTypeData, 9)...)})
		})
		convey.Convey("does not keep the buffer of a large body", func() {
			write(header(muxTypeData, 1))
			write(make([]byte, 2*maxBatchBytes))
			convey.So(c.pendingHeader, convey.ShouldBeNil)
		})
		convey.Convey("returns the error of a failed write", func() {
			r.fail = errors.New("broken")
			write(header(muxTypeData, 3))
			_, err := c.Write([]byte("abc"))
			convey.So(err, convey.ShouldEqual, r.fail)
		})
	})
}

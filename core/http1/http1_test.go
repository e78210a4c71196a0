package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

// heads are heads, without the empty line at the end, and what is wrong with them.
var heads = []struct {
	head string
	want error
}{
	{"HTTP/1.1 200 OK\r\nA: b", nil},
	{"HTTP/1.0 404 Not Found", nil},
	{"HTTP/1.1 200\r\nA:", nil},
	{"HTTP/1.1 204 \nA:\tb\nContent-Length: 0", nil},
	{"HTTP/1.1 999 x\r\nA: \xc3\xa9", nil},
	{"HTTP/1.1 000 OK\r\nA: b", ErrStatus},
	{"HTTP/1.1 099 OK", ErrStatus},
	{"HTTP/1.1 20 OK", ErrStatus},
	{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a", ErrSwitching},
	{"HTTP/1.0 101", ErrSwitching},
	{"HTTP/1.1 2000 OK", ErrStatus},
	{"HTTP/1.1 2x0 OK", ErrStatus},
	{"HTTP/1.1 +20 OK", ErrStatus},
	{"HTTP/1.1  200 OK", ErrStatus},
	{"HTTP/1.1 200\tOK", ErrStatus},
	{"HTTP/1.1 200 O\x00K", ErrStatusLine},
	{"HTTP/2 200 OK", ErrStatusLine},
	{"HTTP/1.1200 OK", ErrStatusLine},
	{"http/1.1 200 OK", ErrStatusLine},
	{"\r\nHTTP/1.1 200 OK", ErrStatusLine},
	{"junk", ErrStatusLine},
	{"HTTP/1.1 200 OK\r\nA b: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nContent-Length : 3", ErrFieldName},
	{"HTTP/1.1 200 OK\r\n A: b", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\r\n\tc", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\tb: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\x01: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\x00B: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\x7f: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\xe9: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\rB: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\n: c", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nno field", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\rc", ErrFieldValue},
	{"HTTP/1.1 200 OK\r\nA: b\x00", ErrFieldValue},
}

func TestHeadThatIsNoResponse(t *testing.T) {
	for _, c := range heads {
		Convey(fmt.Sprintf("%q", c.head), t, func() {
			Convey("is told by itself", func() {
				So(CheckHead([]byte(c.head+"\r\n\r\n")), ShouldEqual, c.want)
			})
			Convey("is told by a reader that gets one byte at a time", func() {
				r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(c.head + "\r\n\r\nbody")))
				So(AwaitHead(r), ShouldEqual, c.want)
				rest, err := io.ReadAll(r)
				So(err, ShouldBeNil)
				So(string(rest), ShouldEqual, c.head+"\r\n\r\nbody")
			})
			Convey("is told on a connection, after an interim response too", func() {
				for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
					So(errors.Is(readAll(before+c.head+"\r\n\r\nbody"), c.want) || c.want == nil, ShouldBeTrue)
					So(readAll(before+c.head+"\r\n\r\nbody") == nil, ShouldEqual, c.want == nil)
				}
			})
		})
	}
}

func TestFinalResponseThatIsNone(t *testing.T) {
	for _, c := range []struct {
		status      int
		name, value string
		want        error
	}{
		{200, "A", "b", nil}, {999, "A", "", nil}, {0, "A", "b", ErrStatus}, {103, "A", "b", ErrStatus}, {1000, "A", "b", ErrStatus},
		{200, "A b", "c", ErrFieldName}, {200, "", "c", ErrFieldName}, {200, "A", "b\r\nC: d", ErrFieldValue},
	} {
		Convey(fmt.Sprintf("%+v", c), t, func() {
			So(CheckFinal(c.status, [][2]string{{"X", "y"}, {c.name, c.value}}), ShouldEqual, c.want)
		})
	}
}

// readAll sends a request on a Conn and reads what the other end sends until it closes.
func readAll(response string) error {
	client, server := net.Pipe()
	go func() {
		_, _ = server.Read(make([]byte, 1))
		_, _ = io.WriteString(server, response)
		_ = server.Close()
	}()
	c := NewConn(client)
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadAll(c)
	return err
}

func TestTrailerThatIsNone(t *testing.T) {
	for trailer, want := range map[string]error{
		"\r\n": nil, "A: b\r\n\r\n": nil, "A b: c\r\n\r\n": ErrFieldName, "A\x01: c\r\n\r\n": ErrFieldName,
		"A: b\r\nC : d\r\n\r\n": ErrFieldName, "A: b": io.ErrUnexpectedEOF, "": io.EOF,
	} {
		Convey(fmt.Sprintf("%q", trailer), t, func() {
			So(AwaitTrailer(bufio.NewReader(strings.NewReader(trailer))), ShouldEqual, want)
		})
	}
}

// endless is a reader of the same line without end.
type endless string

func (e endless) Read(b []byte) (n int, err error) {
	for i := range b {
		b[i] = e[i%len(e)]
	}
	return len(b), nil
}

func TestHeadWithoutEnd(t *testing.T) {
	Convey("a head that does not fit into the buffer ends the wait", t, func() {
		So(AwaitHead(bufio.NewReaderSize(endless("A: b\r\n"), 4096)), ShouldEqual, ErrTooLong)
	})
	Convey("a connection keeps no more of it than the largest head", t, func() {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(server, endless("A: b\r\n")) }()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		c := NewConn(client)
		Reset(func() {
			_ = client.Close()
			_ = server.Close()
		})
		_, err := c.Write([]byte("x"))
		So(err, ShouldBeNil)
		n, err := io.Copy(io.Discard, c)
		So(err, ShouldEqual, ErrTooLong)
		So(n, ShouldBeLessThanOrEqualTo, maxHeadBytes)
	})
}

func FuzzHead(f *testing.F) {
	for _, c := range heads {
		f.Add([]byte(c.head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		b := append(append([]byte{}, head...), "\r\n\r\n"...)
		end := sectionEnd(b)
		if end == 0 || CheckHead(b[:end]) != nil {
			return
		}
		for i, c := range b[:end] {
			if c < ' ' && c != '\t' && c != '\n' && (c != '\r' || b[i+1] != '\n') {
				t.Fatalf("control byte %#x at %d of %q", c, i, b[:end])
			}
		}
	})
}

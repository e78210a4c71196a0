package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// fakePlatform sends the same raw bytes as the reply to every request.
type fakePlatform struct {
	listener net.Listener
	reply    string
	requests atomic.Int64
}

func reply(status int, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// startPlatform starts a platform that replies to every request with text and then
// closes the connection. If text is empty, it sends no reply.
func startPlatform(text string) *fakePlatform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	s := &fakePlatform{listener: l, reply: text}
	go s.accept()
	return s
}

func (s *fakePlatform) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *fakePlatform) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	s.requests.Add(1)
	_, _ = io.WriteString(conn, s.reply)
	if s.reply == "" {
		_, _ = io.Copy(io.Discard, conn) // wait until the client closes the connection
	}
}

func (s *fakePlatform) client() *Client {
	return &Client{Address: s.listener.Addr().String(), Timeout: 300 * clock.Millisecond, Counters: metrics.NewSet()}
}

func (s *fakePlatform) close() { _ = s.listener.Close() }

var ctx = context.Background()

// kindOf returns the kind of a failed call and the result of OutcomeUnknown.
func kindOf(err error) (kind Kind, unknown bool) {
	var e *Error
	if !errors.As(err, &e) {
		return "", false
	}
	return e.Kind, OutcomeUnknown(err)
}

func transactionShouldFail(text string, want Kind, unknown bool) {
	s := startPlatform(text)
	defer s.close()
	_, err := s.client().Transact(ctx, Transaction{Puts: []Put{{Key: "a", Value: "1"}}})
	kind, u := kindOf(err)
	convey.So(kind, convey.ShouldEqual, want)
	convey.So(u, convey.ShouldEqual, unknown)
	convey.So(s.requests.Load(), convey.ShouldEqual, 1) // calls are never retried
}

func TestTransact(t *testing.T) {
	convey.Convey("a commit returns the new versions", t, func() {
		s := startPlatform(reply(200, `{"committed":true,"rows":[{"key":"a","version":4}]}`))
		defer s.close()
		r, err := s.client().Transact(ctx, Transaction{Puts: []Put{{Key: "a", Value: "1"}}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(r, convey.ShouldResemble, Result{Committed: true, Rows: []Row{{Key: "a", Version: 4}}})
	})
	convey.Convey("a conflict returns the conflicting rows and is certainly not applied", t, func() {
		s := startPlatform(reply(409, `{"committed":false,"rows":[{"key":"a","value":"x","version":7}]}`))
		defer s.close()
		r, err := s.client().Transact(ctx, Transaction{Checks: []Check{{Key: "a", Version: 6}}})
		convey.So(IsConflict(err), convey.ShouldBeTrue)
		convey.So(OutcomeUnknown(err), convey.ShouldBeFalse)
		convey.So(r.Rows, convey.ShouldResemble, []Row{{Key: "a", Value: "x", Version: 7}})
	})
	convey.Convey("a transaction that the platform refuses is certainly not applied", t, func() {
		transactionShouldFail(reply(503, ""), NotApplied, false)
		transactionShouldFail(reply(400, "bad"), NotApplied, false)
	})
	convey.Convey("after any other failure a transaction may have been applied", t, func() {
		transactionShouldFail("", ConnectionLost, true)
		transactionShouldFail("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"comm", ConnectionLost, true)
		transactionShouldFail("nonsense\r\n\r\n", ConnectionLost, true)
		transactionShouldFail(reply(500, "oops"), ConnectionLost, true)
		transactionShouldFail(reply(302, ""), ConnectionLost, true)
		transactionShouldFail(reply(200, "}{"), InvalidReply, true)
		transactionShouldFail(reply(200, `{"rows":[]}`), InvalidReply, true)
		transactionShouldFail(reply(200, `{"committed":false}`), InvalidReply, true)
		transactionShouldFail(reply(409, `{"committed":true}`), InvalidReply, true)
		transactionShouldFail(reply(200, `{"committed":true,"rows":[]}`), InvalidReply, true)
		transactionShouldFail(reply(200, `{"committed":true,"rows":[{"key":"b","version":1}]}`), InvalidReply, true)
		transactionShouldFail(reply(200, `{"committed":true,"rows":[{"key":"a","version":-1}]}`), InvalidReply, true)
	})
	convey.Convey("a transaction is certainly not applied if the connection is refused or the context is done beforehand", t, func() {
		s := startPlatform("")
		s.close()
		_, err := s.client().Transact(ctx, Transaction{})
		convey.So(OutcomeUnknown(err), convey.ShouldBeFalse)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = s.client().Transact(cancelled, Transaction{})
		convey.So(OutcomeUnknown(err), convey.ShouldBeFalse)
	})
	convey.Convey("after an error of another type the outcome is unknown", t, func() {
		convey.So(OutcomeUnknown(io.EOF), convey.ShouldBeTrue)
		convey.So(OutcomeUnknown(nil), convey.ShouldBeFalse)
	})
}

func readShouldFail(text string, want Kind) {
	s := startPlatform(text)
	defer s.close()
	c := s.client()
	_, err := c.Read(ctx, "a", "b")
	kind, _ := kindOf(err)
	convey.So(kind, convey.ShouldEqual, want)
	convey.So(s.requests.Load(), convey.ShouldEqual, 1)
	convey.So(c.Counters.GetOrCreateCounter(`platform_calls_total{path="/v1/read",result="`+string(want)+`"}`).Get(), convey.ShouldEqual, 1)
	convey.So(c.Counters.GetOrCreateCounter(`platform_calls_total{path="/v1/read",result="ok"}`).Get(), convey.ShouldEqual, 0)
}

func TestRead(t *testing.T) {
	convey.Convey("rows are returned in the order of the keys", t, func() {
		s := startPlatform(reply(200, `{"rows":[{"key":"a","value":"1","version":2},{"key":"b","version":0}]}`))
		defer s.close()
		rows, err := s.client().Read(ctx, "a", "b")
		convey.So(err, convey.ShouldBeNil)
		convey.So(rows, convey.ShouldResemble, []Row{{Key: "a", Value: "1", Version: 2}, {Key: "b"}})
		versions, err := s.client().ReadVersions(ctx, "a", "b")
		convey.So(err, convey.ShouldBeNil)
		convey.So(versions[0].Version, convey.ShouldEqual, 2)
	})
	convey.Convey("an invalid reply is an error and is counted once", t, func() {
		readShouldFail(reply(200, `null`), InvalidReply)
		readShouldFail(reply(200, `[]`), InvalidReply)
		readShouldFail(reply(200, `{"rows":[{"key":"a"}]}`), InvalidReply)
		readShouldFail(reply(200, `{"rows":[{"key":"b"},{"key":"a"}]}`), InvalidReply)
		readShouldFail(reply(200, `{"rows":[{"key":"a","value":3},{"key":"b"}]}`), InvalidReply)
		readShouldFail(reply(503, ""), NotApplied)
		readShouldFail(reply(500, strings.Repeat("x", 1000)), ConnectionLost)
		readShouldFail("", ConnectionLost)
		readShouldFail("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{", ConnectionLost)
	})
}

const validHost = `{"id":"gh-1","availability_zone":"z","state":"leaving","peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2","operator_address":"127.0.0.1:3"}`

func TestHosts(t *testing.T) {
	convey.Convey("a valid list is decoded", t, func() {
		s := startPlatform(reply(200, `{"hosts":[`+validHost+`]}`))
		defer s.close()
		hosts, err := s.client().Hosts(ctx)
		convey.So(err, convey.ShouldBeNil)
		convey.So(hosts, convey.ShouldResemble, []membership.ListedHost{{
			ID: "gh-1", AvailabilityZone: "z", Leaving: true,
			PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3",
		}})
	})
	convey.Convey("an invalid host is left out and counted, and the others are kept", t, func() {
		shouldLeaveOut(validHost, 1) // listed twice
		shouldLeaveOut(strings.Replace(otherHost, "leaving", "gone", 1), 1)
		shouldLeaveOut(strings.Replace(otherHost, "gh-2", "", 1), 1)
		shouldLeaveOut(strings.Replace(otherHost, "127.0.0.1:1", "here", 1), 1)
		shouldLeaveOut(`null,{},{"state":"live"}`, 3)
	})
	convey.Convey("a reply without a list is invalid", t, func() {
		for _, bad := range []string{`{"hosts":{}}`, `{}`, `null`, `{"hosts":null}`, `}{`} {
			s := startPlatform(reply(200, bad))
			_, err := s.client().Hosts(ctx)
			kind, _ := kindOf(err)
			convey.So(kind, convey.ShouldEqual, InvalidReply)
			s.close()
		}
	})
}

var otherHost = strings.Replace(validHost, "gh-1", "gh-2", 1)

func shouldLeaveOut(invalid string, want uint64) {
	s := startPlatform(reply(200, `{"hosts":[`+validHost+`,`+invalid+`]}`))
	defer s.close()
	c := s.client()
	hosts, err := c.Hosts(ctx)
	convey.So(err, convey.ShouldBeNil)
	convey.So(hosts, convey.ShouldHaveLength, 1)
	convey.So(hosts[0].ID, convey.ShouldEqual, "gh-1")
	convey.So(c.Counters.GetOrCreateCounter(`platform_hosts_left_out_total`).Get(), convey.ShouldEqual, want)
}

func FuzzDecodeTransaction(f *testing.F) {
	f.Add(200, []byte(`{"committed":true,"rows":[{"key":"a","version":1}]}`))
	f.Add(409, []byte(`{"committed":false,"rows":[{"key":"a","value":"x","version":1}]}`))
	f.Add(200, []byte(`{"committed":null}`))
	f.Add(200, []byte("\x00\xff"))
	t := Transaction{Puts: []Put{{Key: "a"}}}
	f.Fuzz(func(tt *testing.T, status int, body []byte) {
		r, err := decodeTransaction(t, status, body)
		if err == nil && (!r.Committed || len(r.Rows) != 1 || r.Rows[0].Version == 0) {
			tt.Fatal("committed transaction without the versions of its puts")
		}
	})
}

func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`{"hosts":[` + validHost + `]}`))
	f.Add([]byte(`{"hosts":[null,{"id":"\u0000"}]}`))
	f.Add([]byte(`{"hosts":[` + validHost + `,` + validHost + `]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, _, err := decodeHosts(body)
		if err != nil {
			return
		}
		for _, h := range hosts {
			if h.ID == "" || h.PeerAddress == "" {
				t.Fatal("host without ID or address")
			}
		}
	})
}

func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"rows":[{"key":"a","version":1},{"key":"b","version":0}]}`))
	f.Add([]byte(`{"rows":[{"key":"a","version":1e99},{"key":"b"}]}`))
	f.Add([]byte(`{"rows":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		rows, err := decodeRows([]string{"a", "b"}, body)
		if err == nil && (len(rows) != 2 || rows[0].Key != "a" || rows[1].Key != "b") {
			t.Fatal("rows differ from the requested ones")
		}
	})
}

func TestNewEra(t *testing.T) {
	convey.Convey("a client", t, func() {
		var told []uint64
		c := &Client{Counters: metrics.NewSet(), OnNewEra: func(era uint64) { told = append(told, era) }}
		convey.Convey("tells once of each new era, and not of the first that it sees", func() {
			for _, reply := range []struct {
				era  string
				told []uint64
			}{{"3", nil}, {"3", nil}, {"4", []uint64{4}}, {"4", []uint64{4}}, {"", []uint64{4}}, {"3", []uint64{4}}, {"x", []uint64{4}}, {"6", []uint64{4, 6}}} {
				c.handleEra([]byte(reply.era))
				convey.So(told, convey.ShouldResemble, reply.told)
			}
		})
		convey.Convey("reads the era from replies, before it returns them", func() {
			p := startPlatform(strings.Replace(reply(200, `{"rows":[{"key":"a","version":1}]}`), "\r\n", "\r\nSiskin-Store-Era: 4\r\n", 1))
			convey.Reset(func() { _ = p.listener.Close() })
			c.Address = p.listener.Addr().String()
			c.handleEra([]byte("3"))
			_, err := c.Read(context.Background(), "a")
			convey.So(err, convey.ShouldBeNil)
			convey.So(told, convey.ShouldResemble, []uint64{4})
		})
	})
}

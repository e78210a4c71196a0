package entry

import (
	"bufio"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/upstream"
)

// keyedNode returns a node, not running, whose configuration has the organisations north
// and south, a route that needs keys and a public one.
func keyedNode() *Node {
	n := bareNode()
	n.config.Load().SetOrganisations([]config.KeyHolder{
		{Organisation: config.Organisation{Name: "north", Priority: 5, HasPriority: true}, Keys: []config.KeyDigest{config.DigestOf([]byte("north-key"))}},
		{Organisation: config.Organisation{Name: "south"}, Keys: []config.KeyDigest{config.DigestOf([]byte("south-key"))}},
	})
	return n
}

// bareNode returns keyedNode's node without its organisations.
func bareNode() *Node {
	log := slog.New(slog.DiscardHandler)
	clk := clock.NewSystem()
	n := &Node{
		Settings: &Settings{}, Log: log, Clock: clk, UpstreamDialect: &upstream.Dialect{Instance: "Siskin-Instance"},
		CallerHeaders: CallerHeaders{RequestID: "Siskin-Request", Deadline: "Siskin-Deadline", Organisation: "Siskin-Organisation"},
		relay:         &relay.Relay{Clock: clk, Boot: clk},
	}
	n.splitter.Rand = rand.New(rand.NewPCG(1, 2))
	n.hostHeaders = map[string]bool{n.UpstreamDialect.Instance: true}
	n.decisions = &decisionLog{log: log, clock: clk, limit: &logs.Limiter{Clock: clk}}
	split := []config.WeightedService{{Service: "booking", Weight: 1}}
	n.settings.Store(&Settings{})
	n.config.Store(config.New(1, []config.Route{
		{Name: "read", Host: "shop.example", Prefix: "/read/", Split: split, Priority: 1, Timeout: clock.Second},
		{Name: "status", Host: "shop.example", Prefix: "/status/", Split: split, Priority: 1, Timeout: clock.Second, Public: true},
	}, nil, config.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20}))
	return n
}

// parseRequest reads a request that a caller could send.
func parseRequest(t testing.TB, text string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatalf("%q can't be read: %v", text, err)
	}
	return req
}

func requestText(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + strings.Join(append(headers, "\r\n"), "\r\n")
}

// decide finds the route of a request and checks its key.
func decide(n *Node, req *fasthttp.Request) (r *request, refusal *Response) {
	cfg := n.config.Load()
	r = &request{arrived: n.Clock.Now()}
	r.route = cfg.Lookup(string(req.Header.Host()), string(req.Header.RequestURI()))
	refusal, _ = n.authenticate(cfg, configAge{trusted: true, current: true}, &req.Header, "/read/1", r)
	return r, refusal
}

func headersOf(n *Node, req *fasthttp.Request, r *request, name string) (values []string) {
	for _, h := range n.buildCall(req, r).Header {
		if strings.EqualFold(strings.ReplaceAll(h[0], "_", "-"), name) {
			values = append(values, h[1])
		}
	}
	return values
}

func TestAuthenticate(t *testing.T) {
	Convey("a host with two organisations", t, func() {
		n := keyedNode()
		Convey("sends the organisation's name to the upstream, and no key", func() {
			req := parseRequest(t, requestText("/read/1", "Authorization: Bearer north-key", "Siskin-Organisation: south", "siskin_organisation: south", "SISKIN-ORGANISATION: south", "Connection: Siskin-Organisation, Authorization"))
			r, refusal := decide(n, req)
			So(refusal, ShouldBeNil)
			So(r.organisation.Name, ShouldEqual, "north")
			So(headersOf(n, req, r, "Siskin-Organisation"), ShouldResemble, []string{"north"})
			So(headersOf(n, req, r, "Authorization"), ShouldBeEmpty)
			So(headersOf(n, req, r, "Connection"), ShouldBeEmpty)
		})
		Convey("uses the organisation's priority, or else the route's", func() {
			r, _ := decide(n, parseRequest(t, requestText("/read/1", "Authorization: Bearer north-key")))
			So(r.priority(), ShouldEqual, 5)
			r, _ = decide(n, parseRequest(t, requestText("/read/1", "Authorization: Bearer south-key")))
			So(r.priority(), ShouldEqual, 1)
		})
		Convey("sends neither header to the upstream of a public route", func() {
			req := parseRequest(t, requestText("/status/1", "Authorization: Bearer north-key", "Siskin-Organisation: south", "SISKIN_ORGANISATION: south", "Other: kept"))
			r, refusal := decide(n, req)
			So(refusal, ShouldBeNil)
			So(headersOf(n, req, r, "Siskin-Organisation"), ShouldBeEmpty)
			So(headersOf(n, req, r, "Authorization"), ShouldBeEmpty)
			So(headersOf(n, req, r, "Other"), ShouldResemble, []string{"kept"})
			So(r.priority(), ShouldEqual, 1)
		})
		Convey("refuses an unknown key with 401 and its short digest for the log, which is final", func() {
			cfg, req := n.config.Load(), parseRequest(t, requestText("/read/1", "Authorization: Bearer abc"))
			refusal, digest := n.authenticate(cfg, configAge{trusted: true, current: true}, &req.Header, "/read/1", &request{route: cfg.Lookup("shop.example", "/read/1")})
			So(refusal.Status, ShouldEqual, 401)
			So(refusal.Reason, ShouldEqual, reasonUnknownKey)
			So(refusal.RetryAfter, ShouldEqual, 0)
			So(digest, ShouldEqual, "ba7816bf")
		})
		Convey("refuses requests without a key of their own with 401", func() {
			for _, headers := range [][]string{
				nil, {"Authorization: north-key"}, {"Authorization: Basic north-key"}, {"Authorization: Bearer"}, {"Authorization: Bearer "},
				{"Authorization: Bearer north-key", "Authorization: Bearer north-key"}, {"Authorization: Bearer north-key", "authorization: Bearer south-key"},
				{"Proxy-Authorization: Bearer north-key"}, {"Siskin-Organisation: north"},
			} {
				_, refusal := decide(n, parseRequest(t, requestText("/read/1", headers...)))
				So(refusal, ShouldNotBeNil)
				So(refusal.Status, ShouldEqual, 401)
				So(refusal.Reason, ShouldEqual, reasonNoKey)
			}
		})
		Convey("that may not know the present keys refuses with 503 what it would have served or refused for good", func() {
			cfg, known := n.config.Load(), parseRequest(t, requestText("/read/1", "Authorization: Bearer north-key"))
			unknown := parseRequest(t, requestText("/read/1", "Authorization: Bearer new-key"))
			public := parseRequest(t, requestText("/status/1"))
			answer := func(age configAge, req *fasthttp.Request) *Response {
				r := &request{route: cfg.Lookup("shop.example", string(req.Header.RequestURI()))}
				refusal, _ := n.authenticate(cfg, age, &req.Header, "/read/1", r)
				return refusal
			}
			shouldBeStale := func(resp *Response) {
				So(resp.Status, ShouldEqual, 503)
				So(resp.Reason, ShouldEqual, reasonStaleKeys)
				So(resp.RetryAfter, ShouldEqual, 300)
			}
			shouldBeStale(answer(configAge{trusted: false, current: false}, known))
			shouldBeStale(answer(configAge{trusted: false, current: false}, unknown))
			shouldBeStale(answer(configAge{trusted: true, current: false}, unknown))
			So(answer(configAge{trusted: true, current: false}, known), ShouldBeNil)
			So(answer(configAge{trusted: false, current: false}, public), ShouldBeNil)
		})
		Convey("passes the name to another host as a header, and neither key nor digest", func() {
			req := parseRequest(t, requestText("/read/1", "Authorization: Bearer north-key"))
			r, _ := decide(n, req)
			p := &pendingRequest{call: n.buildCall(req, r), in: place.Request{Priority: r.priority()}}
			m := encodeForward(p, place.Action{Action: route.Action{}}, n.Clock.Now())
			So(m.GetPriority(), ShouldEqual, 5)
			So(m.String(), ShouldContainSubstring, "north")
			So(m.String(), ShouldNotContainSubstring, "north-key")
			So(m.String(), ShouldNotContainSubstring, config.DigestOf([]byte("north-key")).Short())
		})
	})
	Convey("a host without organisations passes both headers on as they came, and asks for no key", t, func() {
		n := bareNode()
		req := parseRequest(t, requestText("/read/1", "Authorization: Basic abc", "Siskin-Organisation: own", "Siskin-Organisation: own2", "siskin_organisation: own3"))
		r, refusal := decide(n, req)
		So(refusal, ShouldBeNil)
		So(headersOf(n, req, r, "Siskin-Organisation"), ShouldResemble, []string{"own", "own2", "own3"})
		So(headersOf(n, req, r, "Authorization"), ShouldResemble, []string{"Basic abc"})
	})
	Convey("before the first configuration the answer is 503, as no key can be judged", t, func() {
		n := bareNode()
		n.config.Store(nil)
		resp := n.respond(context.Background(), parseRequest(t, requestText("/read/1", "Authorization: Bearer x")), &request{})
		So(resp.Status, ShouldEqual, 503)
		So(resp.RetryAfter, ShouldBeGreaterThan, 0)
	})
}

func TestParseAuthorization(t *testing.T) {
	shouldHold := func(value, key string) {
		got, ok := parseAuthorization([]byte(value))
		So(ok, ShouldEqual, key != "")
		So(string(got), ShouldEqual, key)
	}
	Convey("the scheme in any case, one space or more, and the key", t, func() {
		shouldHold("Bearer k", "k")
		shouldHold("bEARER    k", "k")
		shouldHold("Bearer k \t", "k")
		shouldHold("Bearer a b", "a b")
		shouldHold("Bearer "+strings.Repeat("x", config.MaxKeyBytes), strings.Repeat("x", config.MaxKeyBytes))
	})
	Convey("anything else has no key", t, func() {
		for _, value := range []string{"", " ", "Bearer", "Bearer ", "Bearer  \t", "Bearerk", "Bearer\tk", " Bearer k", "Basic k", "Bearer, k", "k", "Bearer " + strings.Repeat("x", config.MaxKeyBytes+1)} {
			shouldHold(value, "")
		}
	})
}

// FuzzParseAuthorization guards against a crash, and against a key that is not a part of
// the value behind the scheme, or that a space more or another case of the scheme changes.
func FuzzParseAuthorization(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer ", "Bearer k", "bearer  k", "BEARER k ", "Bearer\tk", "Bearer a, Bearer b", "Basic dXNlcg==", "Bearer \x00", "Bearer k\r\nSiskin-Organisation: a", "Béarer k", "Bearer \xff\xfe", "ſbearer k"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		key, ok := parseAuthorization(value)
		if !ok {
			if key != nil {
				t.Fatalf("%q: a key %q although there is none", value, key)
			}
			return
		}
		text := string(value)
		if len(key) == 0 || len(key) > config.MaxKeyBytes || key[0] == ' ' || !strings.EqualFold(text[:len("Bearer ")], "bearer ") {
			t.Fatalf("%q: key %q", value, key)
		}
		if !strings.HasSuffix(strings.TrimRight(text, " \t"), " "+string(key)) {
			t.Fatalf("%q: key %q is not the rest of the value", value, key)
		}
		again, ok := parseAuthorization([]byte("bEARER  " + string(key) + " "))
		if !ok || string(again) != string(key) {
			t.Fatalf("%q: key %q, but %q with other spaces and case", value, key, again)
		}
	})
}

// plainRequest is a request as callers send it without organisations.
func plainRequest(t testing.TB) *fasthttp.Request {
	return parseRequest(t, requestText("/read/1", "Siskin-Request: a1", "Siskin-Deadline: 900", "Accept: */*", "User-Agent: caller", "Authorization: Basic abc"))
}

// BenchmarkWithoutOrganisations measures finding the route and building the call of a
// request, with the check of its key, in a configuration without organisations.
func BenchmarkWithoutOrganisations(b *testing.B) { benchmarkDecide(b, bareNode(), plainRequest(b)) }

// BenchmarkWithOrganisations is the same for a request with a key.
func BenchmarkWithOrganisations(b *testing.B) {
	benchmarkDecide(b, keyedNode(), parseRequest(b, requestText("/read/1", "Siskin-Request: a1", "Siskin-Deadline: 900", "Accept: */*", "User-Agent: caller", "Authorization: Bearer north-key")))
}

func benchmarkDecide(b *testing.B, n *Node, req *fasthttp.Request) {
	b.ReportAllocs()
	for b.Loop() {
		r, refusal := decide(n, req)
		if refusal != nil {
			b.Fatal(refusal.Status)
		}
		n.buildCall(req, r)
	}
}

func TestCostWithoutOrganisations(t *testing.T) {
	Convey("checking the key of a request allocates nothing when the configuration has no organisations", t, func() {
		n, req := bareNode(), plainRequest(t)
		cfg := n.config.Load()
		r := &request{route: cfg.Lookup("shop.example", "/read/1")}
		refused := false
		allocations := testing.AllocsPerRun(1000, func() {
			refusal, _ := n.authenticate(cfg, configAge{trusted: true, current: true}, &req.Header, "/read/1", r)
			refused = refused || refusal != nil || n.isKeyHeader(r, "Authorization")
		})
		So(refused, ShouldBeFalse)
		So(allocations, ShouldEqual, 0)
	})
}

func TestDotSegments(t *testing.T) {
	Convey("a path on a public route that could mean another route needs a key, as an upstream may resolve it", t, func() {
		for path, dots := range map[string]bool{
			"/status/": false, "/status/..a/b": false, "/status/.../x": false,
			"/status/../write/1": true, "/status/./x": true, "/status/%2e%2E/write/1": true, "/status/.%2e/write": true, "/status/..\\write": true,
		} {
			So(hasDotSegment(path), ShouldEqual, dots)
		}
	})
}

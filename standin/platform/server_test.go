package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// testServer is a running platform on free ports.
type testServer struct {
	serviceURL string
	controlURL string
	client     http.Client
	stop       func()
}

func startServer() *testServer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Listen: freeAddress(), Control: freeAddress()}
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	p := &testServer{serviceURL: "http://" + s.Listen, controlURL: "http://" + s.Control}
	p.client.Transport = &http.Transport{DisableKeepAlives: true}
	p.stop = func() {
		cancel()
		<-done
	}
	for {
		if _, err := p.get(p.controlURL + "/control/counts"); err == nil {
			return p
		}
	}
}

func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer ln.Close()
	return ln.Addr().String()
}

func (p *testServer) get(url string) (string, error) {
	resp, err := p.client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func (p *testServer) post(url, body string) (int, string, error) {
	resp, err := p.client.Post(url, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// shouldPost posts body to the services and checks the status and the complete body
// of the reply.
func (p *testServer) shouldPost(path, body string, status int, want string) {
	got, reply, err := p.post(p.serviceURL+path, body)
	So(err, ShouldBeNil)
	So(reply, ShouldEqual, want)
	So(got, ShouldEqual, status)
}

func (p *testServer) setFaults(body string) {
	status, _, err := p.post(p.controlURL+"/control/faults", body)
	So(err, ShouldBeNil)
	So(status, ShouldEqual, http.StatusOK)
}

// waitUntilHeld returns once a silent outage holds a request.
func (p *testServer) waitUntilHeld() {
	for {
		counts, err := p.get(p.controlURL + "/control/counts")
		So(err, ShouldBeNil)
		if !strings.Contains(counts, `"held":0`) {
			return
		}
	}
}

func TestServer(t *testing.T) {
	Convey("Given a running platform", t, func() {
		p := startServer()
		defer p.stop()
		put := `{"checks":[{"key":"a","version":0}],"puts":[{"key":"a","value":"x"}]}`

		Convey("rows can be read, and a transaction whose check has become false conflicts", func() {
			p.shouldPost("/v1/transaction", put, 200, `{"committed":true,"rows":[{"key":"a","version":1}]}`)
			p.shouldPost("/v1/transaction", put, 409, `{"committed":false,"rows":[{"key":"a","value":"x","version":1}]}`)
			p.shouldPost("/v1/read", `{"keys":["b","a"]}`, 200, `{"rows":[{"key":"b","value":"","version":0},{"key":"a","value":"x","version":1}]}`)
			p.shouldPost("/v1/read_versions", `{"keys":["a"]}`, 200, `{"rows":[{"key":"a","version":1}]}`)
		})
		Convey("a lost reply leaves the write applied", func() {
			p.setFaults(`{"lose_replies":1}`)
			_, _, err := p.post(p.serviceURL+"/v1/transaction", put)
			So(err, ShouldNotBeNil)
			p.shouldPost("/v1/read_versions", `{"keys":["a"]}`, 200, `{"rows":[{"key":"a","version":1}]}`)
		})
		Convey("an outage that refuses connections can be ended, and the control endpoints work during it", func() {
			p.setFaults(`{"outage":"refuse"}`)
			_, _, err := p.post(p.serviceURL+"/v1/transaction", put)
			So(err, ShouldNotBeNil)
			p.setFaults(`{"outage":"none"}`)
			p.shouldPost("/v1/read_versions", `{"keys":["a"]}`, 200, `{"rows":[{"key":"a","version":0}]}`)
		})
		Convey("a silent outage sends no reply and applies no write", func() {
			p.setFaults(`{"outage":"silent"}`)
			answered := make(chan error, 1)
			go func() {
				_, _, err := p.post(p.serviceURL+"/v1/transaction", put)
				answered <- err
			}()
			p.waitUntilHeld()
			p.setFaults(`{"outage":"none"}`)
			So(<-answered, ShouldNotBeNil)
			p.shouldPost("/v1/read_versions", `{"keys":["a"]}`, 200, `{"rows":[{"key":"a","version":0}]}`)
		})
		Convey("hosts can be added to the host list through the control endpoints", func() {
			p.setFaults(`{"list_lag_ms":0}`)
			_, _, err := p.post(p.controlURL+"/control/hosts", `{"action":"add","id":"h","peer_address":"127.0.0.1:1"}`)
			So(err, ShouldBeNil)
			list, err := p.get(p.serviceURL + "/v1/hosts")
			So(err, ShouldBeNil)
			So(list, ShouldEqual, `{"hosts":[{"id":"h","availability_zone":"","state":"live","peer_address":"127.0.0.1:1","caller_address":"","operator_address":""}]}`)
		})
		Convey("a malformed body gets status 400", func() {
			status, _, err := p.post(p.serviceURL+"/v1/read", "{")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 400)
		})
	})
}

func TestRestore(t *testing.T) {
	Convey("a platform that is restored from a copy loses what was committed since, and says so by its era", t, func() {
		p := startServer()
		Reset(p.stop)
		era := func() string {
			resp, err := p.client.Post(p.serviceURL+"/v1/read", "application/json", strings.NewReader(`{"keys":["a"]}`))
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			return resp.Header.Get("Siskin-Store-Era")
		}
		put := func(value string) {
			status, _, err := p.post(p.serviceURL+"/v1/transaction", `{"puts":[{"key":"a","value":"`+value+`"}]}`)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		}
		shouldRead := func(value string, version int) {
			p.shouldPost("/v1/read", `{"keys":["a"]}`, http.StatusOK, fmt.Sprintf(`{"rows":[{"key":"a","value":%q,"version":%d}]}`, value, version))
		}
		put("1")
		_, _, err := p.post(p.controlURL+"/control/copy", "")
		So(err, ShouldBeNil)
		put("2")
		So(era(), ShouldEqual, "0")
		_, _, err = p.post(p.controlURL+"/control/restore", "")
		So(err, ShouldBeNil)
		So(era(), ShouldEqual, "1")
		shouldRead("1", 1)
		put("3")
		shouldRead("3", 2)
	})
}

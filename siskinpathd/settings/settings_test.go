package settings

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const validText = `
id = "gh-1"
availability_zone = "gh-mid-a"
[listen]
caller = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
operator = "127.0.0.1:7003"
[platform]
address = "127.0.0.1:6000"
`

func shouldHaveErrors(text string, want ...string) {
	s, err := Parse("f.toml", text)
	convey.So(s, convey.ShouldBeNil)
	convey.So(err, convey.ShouldNotBeNil)
	convey.So(strings.Split(err.Error(), "\n"), convey.ShouldResemble, want)
}

func TestGoodSettings(t *testing.T) {
	convey.Convey("only the required keys must be given; the others have defaults", t, func() {
		s, err := Parse("f.toml", validText)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.ID, convey.ShouldEqual, "gh-1")
		convey.So(s.Listen.Peer, convey.ShouldEqual, "127.0.0.1:7002")
		convey.So(s.Platform, convey.ShouldResemble, Platform{Address: "127.0.0.1:6000", PollMs: 500, TimeoutMs: 1000})
		convey.So(s.Limits, convey.ShouldResemble, Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 20000, MaxInFlight: 10000})
		convey.So(s.Log, convey.ShouldResemble, Log{Level: "info", Format: "text"})
		convey.So(s.Shutdown, convey.ShouldResemble, Shutdown{GraceMs: 6000, DrainMs: 30000})
	})
}

func TestFaults(t *testing.T) {
	convey.Convey("all errors are reported at once, each on its own line", t, func() {
		text := `
id = 7
nonsense = true
[listen]
caller = "127.0.0.1:7001"
peer = "127.0.0.1:7001"
operator = "localhost:7003"
[platform]
poll_ms = "500ms"
timeout_ms = 1
[log]
level = "loud"
[limits]
max_body_bytes = 1.5
max_boddy_bytes = 2
`
		shouldHaveErrors(text,
			`f.toml: availability_zone: required key is missing; for example: availability_zone = "gh-mid-a"`,
			`f.toml: id: 7 is not a string; for example: id = "gh-1"`,
			`f.toml: limits.max_boddy_bytes: unknown key; remove it or correct the spelling`,
			`f.toml: limits.max_body_bytes: 1.5 is not a whole number of bytes; for example: max_body_bytes = 1048576`,
			`f.toml: listen.operator: "localhost:7003" is not an IP address with a port; for example: operator = "127.0.0.1:7003"`,
			`f.toml: listen.peer: 127.0.0.1:7001 is already used by listen.caller; use a different port`,
			`f.toml: log.level: "loud" is not one of debug, info, warn, error; for example: level = "info"`,
			`f.toml: nonsense: unknown key; remove it or correct the spelling`,
			`f.toml: platform.address: required key is missing; for example: address = "127.0.0.1:6000"`,
			`f.toml: platform.poll_ms: "500ms" is not a whole number of milliseconds; for example: poll_ms = 500`,
			`f.toml: platform.timeout_ms: 1 is out of range: 10 to 60000 milliseconds; for example: timeout_ms = 1000`,
		)
	})
	convey.Convey("an address that other hosts cannot connect to is an error", t, func() {
		shouldHaveErrors(strings.Replace(validText, "127.0.0.1:7001", "0.0.0.0:7001", 1),
			`f.toml: listen.caller: "0.0.0.0:7001" is a wildcard address, which other hosts cannot connect to; for example: caller = "127.0.0.1:7001"`)
		shouldHaveErrors(strings.Replace(validText, "127.0.0.1:7001", "127.0.0.1:0", 1),
			`f.toml: listen.caller: "127.0.0.1:0" has port 0; for example: caller = "127.0.0.1:7001"`)
	})
	convey.Convey("a section in place of a value, or a value in place of a section, is an error", t, func() {
		shouldHaveErrors("[id]\nx = 1\n"+strings.Replace(validText, `id = "gh-1"`, "", 1)+"\n[log]\n",
			`f.toml: availability_zone: required key is missing; for example: availability_zone = "gh-mid-a"`,
			`f.toml: id: required key is missing; for example: id = "gh-1"`,
			`f.toml: id.availability_zone: unknown key; remove it or correct the spelling`,
			`f.toml: id.x: unknown key; remove it or correct the spelling`)
		shouldHaveErrors("log = 1\n"+validText, `f.toml: log: unknown key; remove it or correct the spelling`)
	})
	convey.Convey("a TOML syntax error is reported on one line", t, func() {
		_, err := Parse("f.toml", "id = \n")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(strings.HasPrefix(err.Error(), "f.toml: (file): "), convey.ShouldBeTrue)
		convey.So(err.Error(), convey.ShouldNotContainSubstring, "\n")
	})
}

func TestLoad(t *testing.T) {
	convey.Convey("a valid file is loaded", t, func() {
		path := filepath.Join(t.TempDir(), "s.toml")
		convey.So(os.WriteFile(path, []byte(validText), 0o600), convey.ShouldBeNil)
		s, err := Load(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.AvailabilityZone, convey.ShouldEqual, "gh-mid-a")
	})
	convey.Convey("the error for a missing file contains its path", t, func() {
		_, err := Load("/nowhere/s.toml")
		convey.So(err.Error(), convey.ShouldContainSubstring, "/nowhere/s.toml")
	})
}

func TestCheckListen(t *testing.T) {
	convey.Convey("a port in use and an address of another machine are reported, each with a fix", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = l.Close() }()
		text := strings.Replace(validText, "127.0.0.1:7001", l.Addr().String(), 1)
		text = strings.Replace(text, "127.0.0.1:7002", "192.0.2.1:7002", 1)
		s, err := Parse("f.toml", text)
		convey.So(err, convey.ShouldBeNil)
		s.Listen.Operator = freeAddress()
		err = CheckListenAddresses(s)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(strings.Split(err.Error(), "\n"), convey.ShouldResemble, []string{
			"f.toml: listen.caller: " + l.Addr().String() + " is in use by another process; stop that process or use another port",
			"f.toml: listen.peer: 192.0.2.1:7002 is not an address of this machine; use one of this machine's IP addresses",
		})
	})
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("id = [1, {a = 2}]\n[listen.caller]\n")
	f.Add("\x00[[x]]\ny = 1979-05-27T07:32:00Z")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f.toml", text)
		if (s == nil) == (err == nil) {
			t.Fatal("Parse must return either settings or an error, and not both")
		}
	})
}

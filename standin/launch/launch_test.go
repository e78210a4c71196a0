package launch

import (
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTable(t *testing.T) {
	Convey("CSV has the operators' columns, and an edited copy differs in the edited row", t, func() {
		table := Table{
			Services: []Service{{Name: "booking", ProbesPerSecond: 10, HedgePercent: 2.5, MaxDeadlineMs: 10000}},
			Upstreams: []UpstreamRow{{
				Service: "booking", Name: "booking-01", Address: "127.0.0.1:1", AvailabilityZone: "z",
				Weight: 100, Slots: 4, Connections: 300,
			}},
		}
		edited := table.WithUpstream("booking-01", func(u *UpstreamRow) { u.Leaving = true })
		head := "service,upstream,address,availability_zone,weight,slots,connections,rate_per_second,state," +
			"probes_per_second,hedge_percent,max_deadline_ms\n" +
			"booking,*,,,,,,,,10,2.5,10000\n"
		So(table.CSV(), ShouldEqual, head+"booking,booking-01,127.0.0.1:1,z,100,4,300,,active,,,\n")
		So(edited.CSV(), ShouldEqual, head+"booking,booking-01,127.0.0.1:1,z,100,4,300,,leaving,,,\n")
	})
}

func TestProcessGroup(t *testing.T) {
	Convey("Stop ends all processes of a group, also a suspended one", t, func() {
		g := ProcessGroup{Dir: t.TempDir()}
		a, err := g.Start("a", "/bin/sleep", "600")
		So(err, ShouldBeNil)
		_, err = g.Start("b", "/bin/sleep", "600")
		So(err, ShouldBeNil)
		So(a.Signal(syscall.SIGSTOP), ShouldBeNil)
		So(g.Running(), ShouldEqual, 2)
		g.Stop()
		So(g.Running(), ShouldEqual, 0)
		So(a.Signal(syscall.SIGTERM), ShouldBeNil)
	})
	Convey("Starting an executable that does not exist is an error", t, func() {
		g := ProcessGroup{Dir: t.TempDir()}
		_, err := g.Start("c", "/nowhere/program")
		So(err, ShouldNotBeNil)
		So(g.Running(), ShouldEqual, 0)
	})
}

func TestPortAllocator(t *testing.T) {
	Convey("Two allocators use different blocks, and ports in use are skipped", t, func() {
		var a, b PortAllocator
		defer a.Release()
		defer b.Release()
		first, err := a.Allocate(10)
		So(err, ShouldBeNil)
		other, err := b.Allocate(1)
		So(err, ShouldBeNil)
		So((first-firstPort)/blockSize, ShouldNotEqual, (other-firstPort)/blockSize)
		ln, err := net.Listen("tcp", Address(first+12))
		So(err, ShouldBeNil)
		defer ln.Close()
		next, err := a.Allocate(3)
		So(err, ShouldBeNil)
		So(next, ShouldEqual, first+13)
		_, err = a.Allocate(blockSize)
		So(err, ShouldNotBeNil)
	})
}

package launch

import (
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUsage(t *testing.T) {
	Convey("CPU time is parsed after a program name with spaces and brackets", t, func() {
		cpu, err := parseCPU([]byte("7 (a) b) S 1 2 3 4 5 6 7 8 9 10 120 30 0 0 20 0\n"))
		So(err, ShouldBeNil)
		So(cpu, ShouldEqual, 1500*time.Millisecond)
	})
	Convey("A truncated stat line is an error", t, func() {
		_, err := parseCPU([]byte("7 (a) S 1 2"))
		So(err, ShouldNotBeNil)
	})
	Convey("The test process has resident memory, and reading files counts as I/O", t, func() {
		before, err := ReadUsage(os.Getpid())
		So(err, ShouldBeNil)
		So(before.ResidentBytes, ShouldBeGreaterThan, 0)
		after, err := ReadUsage(os.Getpid())
		So(err, ShouldBeNil)
		So(after.Sub(before).IOBytes, ShouldBeGreaterThan, 0)
	})
}

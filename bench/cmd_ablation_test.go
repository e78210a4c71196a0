package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAblation(t *testing.T) {
	Convey("the report names each mechanism, and finds what the allocator is worth above the capacity", t, func() {
		dir := t.TempDir()
		So((&ablationCommand{Out: dir, Seeds: 2, Workers: 2, Scenarios: []string{"records_above"}}).Run(), ShouldBeNil)
		table, err := os.ReadFile(filepath.Join(dir, "ablation.md"))
		So(err, ShouldBeNil)
		So(string(table), ShouldContainSubstring, "| allocator | loads near the capacity, found by many hosts at once | +0.")
		So(string(table), ShouldContainSubstring, "| fair_use |")
		plot, err := os.ReadFile(filepath.Join(dir, "ablation.svg"))
		So(err, ShouldBeNil)
		So(string(plot), ShouldContainSubstring, "<svg")
	})
	Convey("an unknown scenario, or too few seeds, are an error", t, func() {
		So((&ablationCommand{Out: t.TempDir(), Seeds: 2, Workers: 1, Scenarios: []string{"x"}}).Run().Error(), ShouldContainSubstring, `scenario "x" does not exist`)
		So((&ablationCommand{Out: t.TempDir(), Seeds: 1, Workers: 1}).Run().Error(), ShouldContainSubstring, "--seeds is 1")
	})
}

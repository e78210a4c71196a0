package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// pageRow is the page's table row of a key, up to its default.
func pageRow(f field) string {
	_, fallback, _ := strings.Cut(f.example, " = ")
	fallback = strings.Trim(fallback, `"`)
	if strings.HasPrefix(f.key, "log.") {
		fallback = "`" + fallback + "`"
	}
	if f.required {
		return fmt.Sprintf("| `%s` | |", f.key)
	}
	return fmt.Sprintf("| `%s` | %s |", f.key, fallback)
}

func TestPage(t *testing.T) {
	convey.Convey("the pages name every key with its default, and no other", t, func() {
		page, err := os.ReadFile("../../docs/settings.md")
		convey.So(err, convey.ShouldBeNil)
		manual, err := os.ReadFile("../../man/siskinpathd.toml.5.md")
		convey.So(err, convey.ShouldBeNil)
		all := fields(&Settings{})
		for _, f := range all {
			convey.So(string(page), convey.ShouldContainSubstring, pageRow(f))
			convey.So(string(manual), convey.ShouldContainSubstring, "**"+f.key+"**")
		}
		convey.So(strings.Count(string(page), "\n| `"), convey.ShouldEqual, len(all))
	})
}

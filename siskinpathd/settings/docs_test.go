package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// docRow returns the beginning of the key's row in the documentation's table, up to
// and including the default value.
func docRow(f field) string {
	_, defaultValue, _ := strings.Cut(f.example, " = ")
	defaultValue = strings.Trim(defaultValue, `"`)
	if strings.HasPrefix(f.key, "log.") {
		defaultValue = "`" + defaultValue + "`"
	}
	if f.required {
		return fmt.Sprintf("| `%s` | |", f.key)
	}
	return fmt.Sprintf("| `%s` | %s |", f.key, defaultValue)
}

func TestPage(t *testing.T) {
	convey.Convey("the documentation lists exactly the keys that exist, with their defaults", t, func() {
		page, err := os.ReadFile("../../docs/settings.md")
		convey.So(err, convey.ShouldBeNil)
		manual, err := os.ReadFile("../../man/siskinpathd.toml.5.md")
		convey.So(err, convey.ShouldBeNil)
		all := fields(&Settings{})
		for _, f := range all {
			convey.So(string(page), convey.ShouldContainSubstring, docRow(f))
			convey.So(string(manual), convey.ShouldContainSubstring, "**"+f.key+"**")
		}
		convey.So(strings.Count(string(page), "\n| `"), convey.ShouldEqual, len(all))
	})
}

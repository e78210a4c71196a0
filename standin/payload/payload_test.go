package payload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestJudge(t *testing.T) {
	Convey("A body is judged by its bytes alone", t, func() {
		body := Body("org-1", "key-1", 700)
		So(body, ShouldHaveLength, 700)
		shouldJudge(body, Intact)
		shouldJudge(body[:699], Truncated)
		shouldJudge(nil, Truncated)
		shouldJudge(Body("org-2", "key-1", 700), WrongOrganisation)
		shouldJudge(Body("org-1", "key-2", 700), WrongOrganisation)
		changed := append([]byte(nil), body...)
		changed[650]++
		shouldJudge(changed, Corrupt)
	})
}

func shouldJudge(body []byte, want Verdict) {
	So(Verify(body, "org-1", "key-1", 700), ShouldEqual, want)
}

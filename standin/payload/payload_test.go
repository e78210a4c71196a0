package payload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVerify(t *testing.T) {
	Convey("Verify tells intact, truncated, foreign and corrupt bodies apart", t, func() {
		body := Body("org-1", "key-1", 700)
		So(body, ShouldHaveLength, 700)
		shouldVerifyAs(body, Intact)
		shouldVerifyAs(body[:699], Truncated)
		shouldVerifyAs(nil, Truncated)
		shouldVerifyAs(Body("org-2", "key-1", 700), WrongOrganisation)
		shouldVerifyAs(Body("org-1", "key-2", 700), WrongOrganisation)
		changed := append([]byte(nil), body...)
		changed[650]++
		shouldVerifyAs(changed, Corrupt)
	})
}

func shouldVerifyAs(body []byte, want Verdict) {
	So(Verify(body, "org-1", "key-1", 700), ShouldEqual, want)
}

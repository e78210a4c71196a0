package follow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const validAssignment = `{"table_version":1,"members":[` +
	`{"id":"a","incarnation":1,"peer_address":"127.0.0.1:1"},{"id":"b","incarnation":2,"peer_address":"127.0.0.1:2"}],` +
	`"owners":{"booking/w1":"a","booking/w2":"b"}}`

func shouldRefuse(old, changed string) {
	text := strings.Replace(validAssignment, old, changed, 1)
	convey.So(text, convey.ShouldNotEqual, validAssignment)
	_, err := decodeAssignment(3, text)
	convey.So(err, convey.ShouldNotBeNil)
	convey.So(err.Error(), convey.ShouldStartWith, "assignment of epoch 3")
}

func TestDecodeAssignment(t *testing.T) {
	convey.Convey("a valid row is decoded, with its version as the epoch", t, func() {
		a, err := decodeAssignment(3, validAssignment)
		convey.So(err, convey.ShouldBeNil)
		convey.So(a.Epoch, convey.ShouldEqual, 3)
		convey.So(a.Members, convey.ShouldHaveLength, 2)
		convey.So(a.Owners["booking/w2"], convey.ShouldEqual, "b")
	})
	convey.Convey("invalid rows are refused", t, func() {
		shouldRefuse(`{"table`, `{table`)
		shouldRefuse(`"incarnation":1`, `"incarnation":0`)
		shouldRefuse(`"incarnation":1`, `"incarnation":-1`)
		shouldRefuse(`"id":"b"`, `"id":"a"`) // twice
		shouldRefuse(`"id":"a"`, `"id":"c"`) // out of order
		shouldRefuse(`127.0.0.1:2`, `somewhere`)
		shouldRefuse(`w2":"b"`, `w2":"c"`) // owned by no member
		shouldRefuse(`booking/w2`, `booking`)
		shouldRefuse(`"owners"`, `"other":"`+strings.Repeat("x", maxAssignmentBytes)+`","owners"`)
	})
}

func FuzzDecodeAssignment(f *testing.F) {
	f.Add(validAssignment)
	f.Add(`{"members":null}`)
	f.Add(`{"members":[{"id":"a","incarnation":18446744073709551615,"peer_address":"[::1]:1"}],"owners":{"/":"a"}}`)
	f.Add(fmt.Sprintf(`{"members":[%s]}`, strings.Repeat(`{},`, 100)))
	f.Fuzz(func(t *testing.T, value string) {
		a, err := decodeAssignment(9, value)
		if err != nil {
			return
		}
		if a.Epoch != 9 || len(a.Members) == 0 {
			t.Fatal("accepted an assignment with a wrong epoch or without members")
		}
		for _, owner := range a.Owners {
			if owner == "" {
				t.Fatal("accepted an upstream without owner")
			}
		}
	})
}

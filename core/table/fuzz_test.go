package table

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzParse checks that any text gives a table or errors, and that a table parsed
// without errors survives a round trip through Format.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		sample, "", "\xef\xbb\xbf" + sample, strings.ReplaceAll(sample, ",", ";"), strings.ReplaceAll(sample, ",", "\t"),
		strings.Replace(sample, "booking", "\"book\ning\"", 1), sample + "\"", strings.Replace(sample, "2.5", "-0", 1),
		strings.Replace(sample, "2.5", "1e2", 1), strings.Replace(sample, "[fd00::1]", "[::ffff:10.0.0.1]", 1),
		strings.Replace(sample, "[fd00::1]", "[fe80::1%eth0]", 1),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse(text)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("error without a message")
			}
			return
		}
		again, err := Parse(Format(got))
		if err != nil || !bytes.Equal(Format(got), Format(again)) {
			t.Fatalf("round trip: %v\n%s", err, Format(got))
		}
	})
}

// FuzzDecodeRow checks that any value gives a row or an error, that a row survives
// a round trip through EncodeRow, and that a Follower rejects every value that
// DecodeRow rejects.
func FuzzDecodeRow(f *testing.F) {
	for _, value := range []string{
		EncodeRow(RowValue{EditID: "e", Author: "ama", CSV: sample}), "", "{}", "null", "[]", `{"edit_id":1}`, `{"edit_id":"e","csv":"\u0000"}`,
	} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		row, err := DecodeRow(value)
		var follower Follower
		if accepted := follower.PlatformRead(0, 1, value, true) == nil; accepted && err != nil {
			t.Fatal("the follower accepted a value that can't be decoded")
		}
		if err != nil {
			return
		}
		if again, err := DecodeRow(EncodeRow(row)); err != nil || again != row {
			t.Fatalf("round trip: %v", err)
		}
	})
}

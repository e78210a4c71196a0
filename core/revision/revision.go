// Package revision orders the changes of the platform's store, which may come back
// from an older copy of its content.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a state of the store. The store counts its versions up with each
// transaction. When it comes back from an older copy, it starts a new era, and gives
// out versions after that of the copy once more.
type Revision struct {
	Era     int64 // number of times that the store has come back from a copy
	Version int64 // within the era
}

// Compare returns a negative number if r is older than o, and a positive one if it is
// newer.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Version, o.Version))
}

// Before reports whether r is older than o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// String returns the era and the version, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatInt(r.Era, 10) + "/" + strconv.FormatInt(r.Version, 10)
}

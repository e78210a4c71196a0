// Package seeds tells the proofs in virtual time how many seeds to run.
package seeds

import (
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Variable names the environment variable that asks for more seeds than CI runs.
const Variable = "SISKINPATH_SEEDS"

// Count returns the number that Variable gives, or few when it is not set. The
// error says that it is not a number of 1 or more.
func Count(few int) (n int, err error) {
	text := os.Getenv(Variable)
	if text == "" {
		return few, nil
	}
	n, err = strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, errors.Errorf("%s=%q: give a number of 1 or more", Variable, text)
	}
	return n, nil
}

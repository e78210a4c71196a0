// Package seeds reads how many random seeds the tests in virtual time run.
package seeds

import (
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// EnvVar is the environment variable that overrides the number of seeds that CI runs.
const EnvVar = "SISKINPATH_SEEDS"

// Count returns the value of EnvVar, or defaultCount if it is not set. It fails if the
// value is not an integer of at least 1.
func Count(defaultCount int) (n int, err error) {
	text := os.Getenv(EnvVar)
	if text == "" {
		return defaultCount, nil
	}
	n, err = strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, errors.Errorf("%s=%q: want an integer of at least 1", EnvVar, text)
	}
	return n, nil
}

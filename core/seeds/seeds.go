// Package seeds tells the proofs in virtual time how many seeds to run.
package seeds

import (
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// EnvVar names the environment variable that asks for more seeds than CI runs.
const EnvVar = "SISKINPATH_SEEDS"

// Count returns the number that EnvVar gives, or defaultCount when it is not set. The
// error says that it is not a number of 1 or more.
func Count(defaultCount int) (n int, err error) {
	text := os.Getenv(EnvVar)
	if text == "" {
		return defaultCount, nil
	}
	n, err = strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, errors.Errorf("%s=%q: give a number of 1 or more", EnvVar, text)
	}
	return n, nil
}

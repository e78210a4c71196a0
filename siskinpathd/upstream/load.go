package upstream

import (
	"strconv"
	"strings"

	"siskinpath/core/route"
)

// parseLoad parses a load report such as "in_flight=3, queued=1, draining=false".
// It returns nil for an invalid report, because load reports are only hints. Unknown
// fields are ignored.
func parseLoad(b []byte) *route.LoadReport {
	if len(b) == 0 {
		return nil
	}
	var report route.LoadReport
	for field := range strings.SplitSeq(string(b), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !setLoadField(&report, name, value) {
			return nil
		}
	}
	return &report
}

func setLoadField(report *route.LoadReport, name, value string) bool {
	var err error
	switch name {
	case "in_flight":
		report.InFlight, err = strconv.Atoi(value)
	case "queued":
		report.Queued, err = strconv.Atoi(value)
	case "draining":
		report.Draining, err = strconv.ParseBool(value)
	}
	return err == nil && report.InFlight >= 0 && report.Queued >= 0
}

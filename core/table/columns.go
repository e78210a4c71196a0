package table

// Columns of the CSV form, in the order in which Format writes them.
const (
	ColumnService          = "service"
	ColumnUpstream         = "upstream"
	ColumnAddress          = "address"
	ColumnAvailabilityZone = "availability_zone"
	ColumnWeight           = "weight"
	ColumnSlots            = "slots"
	ColumnConnections      = "connections"
	ColumnRatePerSecond    = "rate_per_second"
	ColumnState            = "state"
	ColumnProbesPerSecond  = "probes_per_second"
	ColumnHedgePercent     = "hedge_percent"
	ColumnMaxDeadline      = "max_deadline_ms"
)

// Columns returns the names of all columns in the order in which Format writes them.
func Columns() []string {
	return []string{
		ColumnService, ColumnUpstream, ColumnAddress, ColumnAvailabilityZone, ColumnWeight, ColumnSlots,
		ColumnConnections, ColumnRatePerSecond, ColumnState, ColumnProbesPerSecond, ColumnHedgePercent, ColumnMaxDeadline,
	}
}

// Size limits, upper bounds of cells, and defaults for empty cells. Slots and
// connections have no default and must be given.
const (
	MaxNameBytes       = 64
	MaxTextBytes       = 4 << 20 // of the CSV form
	MaxRows            = 20_000
	MaxWeight          = 1000
	MaxSlots           = 100_000
	MaxConnections     = 1_000_000
	MaxRatePerSecond   = 10_000_000
	MaxProbesPerSecond = 100_000
	MaxHedgePercent    = 100
	MaxMaxDeadlineMs   = 3_600_000

	DefaultWeight        = 100
	DefaultMaxDeadlineMs = 30_000
)

// validName reports whether s is 1 to MaxNameBytes long, consists of a-z A-Z 0-9
// - _ and dot, and is neither "." nor "..". Such a name is safe in a URL path and
// in a row key.
func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || s == "." || s == ".." {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

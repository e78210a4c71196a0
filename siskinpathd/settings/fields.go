package settings

// Limits and defaults of the settings.
const (
	maxNameBytes = 64

	minPollMs     = 50
	maxPollMs     = 60_000
	defaultPollMs = 500

	minTimeoutMs     = 10
	maxTimeoutMs     = 60_000
	defaultTimeoutMs = 1000

	minBodyBytes     = 1
	maxBodyBytes     = 64 << 20
	defaultBodyBytes = 1 << 20

	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 1 << 20
	defaultHeaderBytes = 16 << 10

	minConnections     = 1
	maxConnections     = 1_000_000
	defaultConnections = 20_000

	minInFlight     = 1
	maxInFlight     = 1_000_000
	defaultInFlight = 10_000

	maxGraceMs     = 600_000
	defaultGraceMs = 6000

	maxDrainMs     = 600_000
	defaultDrainMs = 30_000
)

// field describes one key of the file: how its value is checked and stored.
type field struct {
	key      string
	required bool
	example  string                       // a valid line, for error messages
	set      func(v any) (problem string) // stores v, or returns why it is invalid
}

// fields returns the fields of all keys. It also stores their default values in s.
func fields(s *Settings) []field {
	return []field{
		nameField(&s.ID, "id", `id = "gh-1"`),
		nameField(&s.AvailabilityZone, "availability_zone", `availability_zone = "gh-mid-a"`),
		addressField(&s.Listen.Caller, "listen.caller", `caller = "127.0.0.1:7001"`),
		addressField(&s.Listen.Peer, "listen.peer", `peer = "127.0.0.1:7002"`),
		addressField(&s.Listen.Operator, "listen.operator", `operator = "127.0.0.1:7003"`),
		addressField(&s.Platform.Address, "platform.address", `address = "127.0.0.1:6000"`),
		intField(&s.Platform.PollMs, "platform.poll_ms", milliseconds, intRange{minPollMs, maxPollMs, defaultPollMs}),
		intField(&s.Platform.TimeoutMs, "platform.timeout_ms", milliseconds, intRange{minTimeoutMs, maxTimeoutMs, defaultTimeoutMs}),
		intField(&s.Limits.MaxBodyBytes, "limits.max_body_bytes", bytes, intRange{minBodyBytes, maxBodyBytes, defaultBodyBytes}),
		intField(&s.Limits.MaxHeaderBytes, "limits.max_header_bytes", bytes, intRange{minHeaderBytes, maxHeaderBytes, defaultHeaderBytes}),
		intField(&s.Limits.MaxConnections, "limits.max_connections", connections, intRange{minConnections, maxConnections, defaultConnections}),
		intField(&s.Limits.MaxInFlight, "limits.max_in_flight", requests, intRange{minInFlight, maxInFlight, defaultInFlight}),
		enumField(&s.Log.Level, "log.level", "info", "debug", "info", "warn", "error"),
		enumField(&s.Log.Format, "log.format", "text", "text", "json"),
		intField(&s.Shutdown.GraceMs, "shutdown.grace_ms", milliseconds, intRange{0, maxGraceMs, defaultGraceMs}),
		intField(&s.Shutdown.DrainMs, "shutdown.drain_ms", milliseconds, intRange{0, maxDrainMs, defaultDrainMs}),
	}
}

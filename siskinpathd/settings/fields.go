package settings

// Bounds and defaults of the settings.
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

// field is one key of the file: how its value is checked and where it goes.
type field struct {
	key      string
	required bool
	example  string                    // a right line, for the fix
	set      func(v any) (what string) // stores v, or says what is wrong with it
}

// fields lists every key with its default already stored in s.
func fields(s *Settings) []field {
	return []field{
		name(&s.ID, "id", `id = "gh-1"`),
		name(&s.AvailabilityZone, "availability_zone", `availability_zone = "gh-mid-a"`),
		address(&s.Listen.Caller, "listen.caller", `caller = "127.0.0.1:7001"`),
		address(&s.Listen.Peer, "listen.peer", `peer = "127.0.0.1:7002"`),
		address(&s.Listen.Operator, "listen.operator", `operator = "127.0.0.1:7003"`),
		address(&s.Platform.Address, "platform.address", `address = "127.0.0.1:6000"`),
		number(&s.Platform.PollMs, "platform.poll_ms", milliseconds, span{minPollMs, maxPollMs, defaultPollMs}),
		number(&s.Platform.TimeoutMs, "platform.timeout_ms", milliseconds, span{minTimeoutMs, maxTimeoutMs, defaultTimeoutMs}),
		number(&s.Limits.MaxBodyBytes, "limits.max_body_bytes", bytes, span{minBodyBytes, maxBodyBytes, defaultBodyBytes}),
		number(&s.Limits.MaxHeaderBytes, "limits.max_header_bytes", bytes, span{minHeaderBytes, maxHeaderBytes, defaultHeaderBytes}),
		number(&s.Limits.MaxConnections, "limits.max_connections", connections, span{minConnections, maxConnections, defaultConnections}),
		number(&s.Limits.MaxInFlight, "limits.max_in_flight", requests, span{minInFlight, maxInFlight, defaultInFlight}),
		choice(&s.Log.Level, "log.level", "info", "debug", "info", "warn", "error"),
		choice(&s.Log.Format, "log.format", "text", "text", "json"),
		number(&s.Shutdown.GraceMs, "shutdown.grace_ms", milliseconds, span{0, maxGraceMs, defaultGraceMs}),
		number(&s.Shutdown.DrainMs, "shutdown.drain_ms", milliseconds, span{0, maxDrainMs, defaultDrainMs}),
	}
}

package logs

import "log/slog"

// ConnectionLogger is a fasthttp.Logger that logs that a connection had an error, without
// the error's text: fasthttp quotes the header of a malformed request in it, which may
// contain a caller's key.
type ConnectionLogger struct {
	Log     *slog.Logger
	Address string // that the server listens on
}

// Printf implements fasthttp.Logger.
func (l ConnectionLogger) Printf(string, ...any) {
	l.Log.Warn("connection ended with an error", "address", l.Address)
}

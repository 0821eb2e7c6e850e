// Package logging builds the structured logger of a process. Each part (component) of the
// process logs with its own value of the attribute "part".
package logging

import (
	"io"
	"log/slog"
)

// partKey is the key of the attribute that names the part.
const partKey = "part"

// New returns a logger that writes to w in the given format, "json" or "text".
func New(w io.Writer, format string, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Part returns a logger for the given part of the process.
func Part(l *slog.Logger, part string) *slog.Logger {
	return l.With(partKey, part)
}

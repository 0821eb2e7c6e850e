// Package logging builds the process's structured logger: short sentences with
// a fixed prefix for each part.
package logging

import (
	"io"
	"log/slog"
)

// partKey is the attribute that carries the fixed prefix of a part.
const partKey = "part"

// New returns a logger that writes to w in the given format, "json" or "text".
func New(w io.Writer, format string, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Part returns the logger of one part of the process.
func Part(l *slog.Logger, part string) *slog.Logger {
	return l.With(partKey, part)
}

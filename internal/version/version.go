// Package version tells which build of saltbend runs.
package version

import "runtime/debug"

// revisionLength is the number of digits shown of a commit's name.
const revisionLength = 12

// Version returns the module's version, or the commit for a build from source.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= revisionLength {
			return s.Value[:revisionLength]
		}
	}
	return info.Main.Version
}

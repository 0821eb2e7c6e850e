// Package version returns the version of the running build of saltbend.
package version

import "runtime/debug"

// commitDigits is the number of hex digits to which a commit id is shortened.
const commitDigits = 12

// Version returns the id of the commit for a build from a source repository, otherwise the
// version of the module, and "unknown" if the binary has no build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= commitDigits {
			return s.Value[:commitDigits]
		}
	}
	return info.Main.Version
}

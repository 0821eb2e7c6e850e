package settings

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong with the settings.
type Finding struct {
	// Place is the flag and the environment variable, such as
	// "--control (SALTBEND_CONTROL)".
	Place string
	// What says what is wrong.
	What string
	// Remedy says what to do about it.
	Remedy string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Place, f.What, f.Remedy)
}

// Findings are all findings of one check, reported together. As an error it
// lists them one a line.
type Findings []Finding

// Add appends a finding about the flag, given by its long name.
func (f *Findings) Add(flag, what, remedy string) {
	*f = append(*f, Finding{Place: Place(flag), What: what, Remedy: remedy})
}

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Place returns the place of a flag: its name and its environment variable.
func Place(flag string) string {
	return fmt.Sprintf("--%s (%s)", flag, EnvName(flag))
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

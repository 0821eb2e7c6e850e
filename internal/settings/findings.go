package settings

import (
	"fmt"
	"strings"
)

// Finding is one error in the settings.
type Finding struct {
	// Place is the flag and the environment variable, such as
	// "--control (SALTBEND_CONTROL)".
	Place string
	// Message describes the error.
	Message string
	// Remedy says how to correct the error.
	Remedy string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Place, f.Message, f.Remedy)
}

// Findings are all findings of one check. The error text has one line per finding.
type Findings []Finding

// Add appends a finding about a flag, which is given by its long name.
func (f *Findings) Add(flag, message, remedy string) {
	*f = append(*f, Finding{Place: Place(flag), Message: message, Remedy: remedy})
}

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Place returns the name of a flag together with its environment variable, such as
// "--control (SALTBEND_CONTROL)".
func Place(flag string) string {
	return fmt.Sprintf("--%s (%s)", flag, EnvName(flag))
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

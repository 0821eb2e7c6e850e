package record

import "github.com/saltbend/saltbend/internal/config"

// Parse returns the configuration in a stored value, for a process that is to
// adopt it.
func Parse(value []byte, revision uint64) (*config.Config, error) {
	r, err := Decode(value)
	if err != nil {
		return nil, err
	}
	r.Config.Revision = revision
	return r.Config, nil
}

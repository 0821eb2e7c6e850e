package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
)

// ConfigJSON returns the JSON form of the configuration in a stored value, which is the text that
// processes send to each other. It is returned byte for byte, so that a process of an older
// version forwards fields that it doesn't know.
func ConfigJSON(value []byte) ([]byte, error) {
	var e struct {
		Format int             `json:"format"`
		Config json.RawMessage `json:"config"`
	}
	if err := decode(value, &e); err != nil {
		return nil, err
	}
	if e.Format != format {
		return nil, errors.Wrapf(ErrFormat, "format %d", e.Format)
	}
	return e.Config, nil
}

// ParseConfigJSON parses the JSON form of a configuration, as returned by ConfigJSON.
func ParseConfigJSON(text []byte, revision uint64) (*config.Config, error) {
	c := &config.Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	c.Revision = revision
	return c, nil
}

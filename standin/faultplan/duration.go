package faultplan

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as text, such as "1.5s", in YAML and JSON.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler, used by YAML.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(content []byte) error {
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	return d.UnmarshalText([]byte(text))
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

package settings

import "fmt"

const redacted = "[redacted]"

// Secret is a value that prints as "[redacted]" under every fmt verb and in
// JSON, YAML, text and binary encodings. The value is kept in a closure, so
// that fmt's reflection over unexported fields cannot reach it.
type Secret struct {
	reveal func() []byte
}

// NewSecret returns a Secret with a copy of value.
func NewSecret(value []byte) Secret {
	copied := append([]byte(nil), value...)
	return Secret{reveal: func() []byte { return append([]byte(nil), copied...) }}
}

// Reveal returns a copy of the value, or nil for the zero Secret. The result
// must not be printed or stored.
func (s Secret) Reveal() []byte {
	if s.reveal == nil {
		return nil
	}
	return s.reveal()
}

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(redacted)) }

// String implements fmt.Stringer.
func (s Secret) String() string { return redacted }

// MarshalText implements encoding.TextMarshaler, which JSON uses.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalYAML implements yaml.Marshaler.
func (s Secret) MarshalYAML() (any, error) { return redacted, nil }

// MarshalBinary implements encoding.BinaryMarshaler, which CBOR uses.
func (s Secret) MarshalBinary() ([]byte, error) { return []byte(redacted), nil }

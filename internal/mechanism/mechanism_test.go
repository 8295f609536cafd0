package mechanism_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/mechanism"
)

func TestDisableByName(t *testing.T) {
	is := is.New(t)
	var none mechanism.Disabled
	for _, name := range mechanism.All() {
		is.True(none.Enabled(name))
		disabled, err := mechanism.ParseDisabled([]string{string(name)})
		is.NoErr(err)
		for _, other := range mechanism.All() {
			is.Equal(disabled.Enabled(other), other != name)
		}
	}
}

func TestUnknownMechanismIsRejected(t *testing.T) {
	tests := []struct {
		name  string
		names []string
	}{
		{"unknown", []string{"telepathy"}},
		{"empty", []string{""}},
		{"one of two", []string{string(mechanism.Notifications), "Notices"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			disabled, err := mechanism.ParseDisabled(tt.names)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), string(mechanism.EarlyRefusal))) // lists the valid names
			is.True(disabled.Enabled(mechanism.Notifications))
		})
	}
}

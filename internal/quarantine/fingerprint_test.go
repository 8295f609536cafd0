package quarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/quarantine"
)

func TestFingerprintDependsOnIdentity(t *testing.T) {
	is := is.New(t)
	base := quarantine.Identity{Tenant: "t", Method: "POST", Host: "h", Target: "/a/b", Body: []byte("body")}
	again := base
	again.Body = []byte("body")
	is.Equal(base.Fingerprint(), again.Fingerprint())
	is.Equal(len(base.Fingerprint().String()), 2*quarantine.FingerprintBytes)
	tests := []struct {
		name   string
		change func(*quarantine.Identity)
	}{
		{"tenant", func(i *quarantine.Identity) { i.Tenant = "u" }},
		{"method", func(i *quarantine.Identity) { i.Method = "PUT" }},
		{"host", func(i *quarantine.Identity) { i.Host = "g" }},
		{"target", func(i *quarantine.Identity) { i.Target = "/a/c" }},
		{"query", func(i *quarantine.Identity) { i.Target = "/a/b?x" }},
		{"body", func(i *quarantine.Identity) { i.Body = nil }},
		{"a field that ends later", func(i *quarantine.Identity) { i.Host, i.Target = "h/", "a/b" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			other := base
			tt.change(&other)
			is.True(other.Fingerprint() != base.Fingerprint())
		})
	}
}

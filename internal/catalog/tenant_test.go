package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/quota"
)

func TestTenantAmount(t *testing.T) {
	tests := []struct {
		name   string
		tenant catalog.Tenant
		tokens int
		want   float64
	}{
		{"requests are counted", catalog.Tenant{DefaultTokens: 200}, 5000, 1},
		{"tokens are counted", catalog.Tenant{CountsTokens: true, DefaultTokens: 200}, 5000, 5000},
		{"a request that states no tokens", catalog.Tenant{CountsTokens: true, DefaultTokens: 200}, 0, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.tenant.Amount(tt.tokens), tt.want)
		})
	}
}

func TestHasTenantLimits(t *testing.T) {
	tests := []struct {
		name string
		keys map[string]*catalog.Tenant
		want bool
	}{
		{"no tenants", nil, false},
		{"no limits", map[string]*catalog.Tenant{"k": {Name: "a"}, "l": {Name: "b", Limit: quota.Limit{Burst: 5}}}, false},
		{"one limit", map[string]*catalog.Tenant{"k": {Name: "a"}, "l": {Name: "b", Limit: quota.Limit{Rate: 5}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(catalog.NewSnapshot(catalog.Content{Version: 1, Keys: tt.keys}).HasTenantLimits(), tt.want)
		})
	}
}

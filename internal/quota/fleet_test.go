package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUsageStaysWithinBoundsUnderFaults(t *testing.T) {
	const seeds = 6
	kinds := [][]modelFault{nil, modelFaults}
	for _, trouble := range modelFaults {
		kinds = append(kinds, []modelFault{trouble})
	}
	for _, troubles := range kinds {
		name := "none or all"
		if len(troubles) == 1 {
			name = troubles[0].name
		}
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				m := newModel(seed, 24, modelTenants())
				limits := limitsOf(m.tenants)
				m.run(troubles, 24*time.Second)
				is.Equal(m.violations(limits), nil)
				m.runWithoutFaults(12 * time.Second)
				is.Equal(members(m.leader()), len(m.routers)) // one pool again
				is.Equal(m.violations(limits), nil)
			})
		}
	}
}

// The members of a lost leader are not denied while they join the next one.
func TestLeaderLossDeniesNoRequests(t *testing.T) {
	tests := []struct {
		name    string
		trouble func(m *model)
	}{
		{"killed", func(m *model) { m.kill(m.leader(), time.Second) }},
		{"frozen", func(m *model) { m.leader().frozenUntil = m.now + 2*time.Second }},
		{"cut off", func(m *model) { m.cut(m.leader()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(7, 79, modelTenants())
			limits := limitsOf(m.tenants)
			m.tick = 50 * time.Millisecond
			for m.now < 12*time.Second {
				m.step(m.now > 3*time.Second)
			}
			for _, tenant := range m.tenants {
				tenant.faultFreeCount, tenant.faultFreeDenied = 0, 0
			}
			tt.trouble(m)
			for m.now < 14*time.Second {
				m.step(true)
			}
			for _, tenant := range m.tenants {
				t.Logf("%s: %d of %d denied", tenant.name, tenant.faultFreeDenied, tenant.faultFreeCount)
				// The lost router may deny its own requests.
				is.True(tenant.faultFreeDenied <= tenant.faultFreeCount/len(m.routers)+1)
			}
			is.Equal(m.violations(limits), nil)
		})
	}
}

// Most routers in the list of each one have restarted too and rank behind it.
func TestRestartedFleetFormsOnePool(t *testing.T) {
	tests := []struct {
		routers int
		within  time.Duration
	}{{24, 500 * time.Millisecond}, {79, 500 * time.Millisecond}, {200, time.Second}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.routers), func(t *testing.T) {
			is := is.New(t)
			m := newModel(5, tt.routers, nil)
			m.tick = 50 * time.Millisecond
			for m.now < 3*time.Second {
				m.step(false)
			}
			var lastAt time.Duration
			for _, router := range m.routers {
				m.kill(router, time.Second+time.Duration(m.random.IntN(300))*time.Millisecond)
				lastAt = max(lastAt, router.downUntil)
			}
			for m.now < lastAt+tt.within {
				m.step(false)
			}
			is.Equal(members(m.leader()), tt.routers)
		})
	}
}

func TestTenantWithinLimitIsNotDenied(t *testing.T) {
	tests := []struct {
		name  string
		alone bool
		most  float64
	}{
		{"one pool", false, 0.001},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(3, 24, modelTenants())
			m.standalone = tt.alone
			for m.now < 3*time.Second {
				m.step(false)
			}
			for m.now < 30*time.Second {
				m.step(true)
			}
			for _, tenant := range m.tenants {
				is.True(tenant.faultFreeCount > 100)
				share := float64(tenant.faultFreeDenied) / float64(tenant.faultFreeCount)
				t.Logf("%s: %d of %d denied", tenant.name, tenant.faultFreeDenied, tenant.faultFreeCount)
				is.True(share <= tt.most)
			}
		})
	}
}

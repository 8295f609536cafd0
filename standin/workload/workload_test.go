package workload

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

var examples = []string{"../../examples/muldenring/load.yaml", "../../examples/parking/load.yaml"}

func arrivals(t *testing.T, path string, seed uint64) []Arrival {
	spec, err := Load(path)
	is.New(t).NoErr(err)
	generator := NewGenerator(spec, seed)
	var all []Arrival
	for {
		next := generator.Next()
		if next.At >= spec.Duration {
			return all
		}
		all = append(all, next)
	}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	for _, path := range examples {
		is := is.New(t)
		first, again, other := arrivals(t, path, 1), arrivals(t, path, 1), arrivals(t, path, 2)
		is.True(reflect.DeepEqual(first, again))
		is.True(!reflect.DeepEqual(first, other))
	}
}

// TestPromptsShareTenantPrefixes checks that a tenant's requests share most of
// their prompt with an earlier one, and that tenants share no prefix.
func TestPromptsShareTenantPrefixes(t *testing.T) {
	for _, path := range examples {
		seen := map[ident.Tenant][]string{}
		shared, total := 0, 0
		for _, arrival := range arrivals(t, path, 3) {
			if arrival.Application {
				continue
			}
			for tenant, prompts := range seen {
				if tenant != arrival.Tenant && longestShared(prompts, arrival.Prompt) > 20*prefix.BytesPerToken {
					t.Fatalf("%s and %s share a prefix", tenant, arrival.Tenant)
				}
			}
			if len(seen[arrival.Tenant]) > 0 {
				shared += longestShared(seen[arrival.Tenant], arrival.Prompt)
				total += len(arrival.Prompt)
			}
			seen[arrival.Tenant] = append(seen[arrival.Tenant], arrival.Prompt)
		}
		if shared*10 < total*6 || shared*100 > total*99 {
			t.Errorf("%s: %d of %d bytes shared", path, shared, total)
		}
	}
}

func longestShared(prompts []string, prompt string) (longest int) {
	for _, earlier := range prompts {
		longest = max(longest, commonPrefix(earlier, prompt))
	}
	return longest
}

func commonPrefix(one, other string) int {
	length := 0
	for length < len(one) && length < len(other) && one[length] == other[length] {
		length++
	}
	return length
}

func TestFloodsAndRetries(t *testing.T) {
	is := is.New(t)
	countFlood := func(all []Arrival, from, to time.Duration) (count int) {
		for _, arrival := range all {
			if arrival.Class == "tender-summary" && arrival.At >= from && arrival.At < to {
				count++
			}
		}
		return count
	}
	all := arrivals(t, examples[0], 4)
	is.True(countFlood(all, 40*time.Second, 50*time.Second) > 3*countFlood(all, 10*time.Second, 20*time.Second)+5)
	keys := map[string]string{}
	retries := 0
	for _, arrival := range all {
		if arrival.IdempotencyKey == "" {
			continue
		}
		earlier, known := keys[arrival.IdempotencyKey]
		is.Equal(known, arrival.Retry)
		if known {
			retries++
			is.Equal(earlier, arrival.Body)
		}
		keys[arrival.IdempotencyKey] = arrival.Body
	}
	is.True(retries > 0)
}

func TestParseRejectsInvalidSpecs(t *testing.T) {
	const valid = "{name: w, rate: 1, arrivals: uniform, duration: 1s, vocabulary: parking, tenants: [{name: a, weight: 1}], " +
		"classes: [{name: c, service: s, weight: 1, tailTokens: 1, minTokens: 1, maxTokens: 1}]}"
	is := is.New(t)
	_, err := Parse([]byte(valid))
	is.NoErr(err)
	for replace, by := range map[string]string{
		"rate: 1": "rate: 0", "uniform": "often", "vocabulary: parking": "vocabulary: x", "name: a, weight: 1": "name: a",
		"tailTokens: 1": "tailTokens: 1, layers: [x]", "maxTokens: 1": "maxTokens: 0", "name: w": "title: w",
		"rate: 1,": "rate: 1, events: [{kind: flood, for: 1s, factor: 2, class: x}],",
	} {
		_, err := Parse([]byte(strings.Replace(valid, replace, by, 1)))
		is.True(err != nil) // by must be rejected
	}
}

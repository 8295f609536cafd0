package backend_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A registry that applies the changes of a list must know the same back ends, and choose the same
// ones, as one that applies each list whole.
func TestChangesHaveTheEffectOfWholeLists(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(8, 9))
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	whole, changed := backend.NewRegistry(backend.Config{}), backend.NewRegistry(backend.Config{})
	var list []backend.Record
	byInstance := func(a, b backend.Record) int { return cmp.Compare(a.Instance, b.Instance) }
	for round := range 300 {
		var records []backend.Record
		var removed []ident.Incarnation
		list = slices.DeleteFunc(list, func(record backend.Record) bool {
			if random.IntN(15) == 0 {
				removed = append(removed, record.Instance)
				return true
			}
			return false
		})
		for index := range list {
			if random.IntN(10) == 0 {
				list[index].Slots++
				list[index].Revision++
				list[index].Service = ident.Service(fmt.Sprint("s", random.IntN(2)))
				records = append(records, list[index])
			}
		}
		for range random.IntN(8) {
			added := backend.Record{
				Instance: ident.Incarnation(fmt.Sprintf("i-%05d", random.IntN(100_000))), Service: "s0", Zone: "z", Slots: 4, Address: "10.0.0.1:1",
			}
			if !slices.ContainsFunc(list, func(known backend.Record) bool { return known.Instance == added.Instance }) {
				list, records = append(list, added), append(records, added)
			}
		}
		slices.SortFunc(list, byInstance)
		now = now.Add(time.Second)
		if round%40 == 0 {
			now = now.Add(5 * time.Second) // an outage: back ends that are missing may return
		}
		whole.ApplyList(now, slices.Clone(list))
		changed.ApplyChanges(now, records, removed)
		is.Equal(whole.Records(), changed.Records())
		for _, service := range []ident.Service{"s0", "s1"} {
			query := &backend.Query{Service: service, SpreadKey: random.Uint64(), Expected: time.Second}
			first, _, found := whole.Pick(now, query)
			second, _, alsoFound := changed.Pick(now, query)
			is.Equal(found, alsoFound)
			is.Equal(first.Instance, second.Instance)
		}
	}
}

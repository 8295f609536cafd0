package membership_test

import (
	"fmt"
	"testing"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
)

// BenchmarkOwners finds the owners of one key, as a router does for each prefix.
func BenchmarkOwners(b *testing.B) {
	for _, nodes := range []int{4, 16, 64, 390} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			view := membership.View{}
			for index := range nodes {
				name := fmt.Sprintf("router-%03d", index)
				view.Members = append(view.Members, membership.Member{Node: ident.Node(name), HTTPAddress: name})
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(view.Owners("engine/engine-017", 2)) != 2 {
					b.Fatal("owners are missing")
				}
			}
		})
	}
}

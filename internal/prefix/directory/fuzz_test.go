package directory

import (
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// emptyHolder is a BlockHolder without blocks.
type emptyHolder struct{}

func (emptyHolder) Holds(ident.Engine, ident.Incarnation, prefix.Hash) (held, known bool) {
	return false, false
}

// No bytes from another router may panic the decoder or a node that handles the
// decoded message.
func FuzzDecode(f *testing.F) {
	for _, message := range []Message{
		{Lookup: &Lookup{Root: 7}},
		{Answer: &Answer{Root: 7, TTLMillis: 1000, Paths: [][]byte{{1, 2, 3, 4}}, Holders: []Holder{{Engine: "e", Path: 0, Landmarks: 1}}}},
		{Report: &Report{Holdings: []Holding{{Engine: "e", Incarnation: "i", Hashes: make([]byte, 16)}}}},
		{Watch: &Watch{Engine: "e", Incarnation: "i", Hashes: make([]byte, 8)}},
		{Notification: &Notification{Engine: "e", Incarnation: "i", Lost: make([]byte, 8)}},
	} {
		encoded, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := Decode(encoded)
		if err != nil {
			return
		}
		node, err := New(Config{}, emptyHolder{})
		if err != nil {
			t.Fatal(err)
		}
		node.SetView(membership.View{Self: "a", Members: []membership.Member{{Node: "a"}, {Node: "b"}}})
		now := time.Unix(1, 0)
		node.Lookup(now, prefix.Chain{1, 2, 3, 4, 5, 6, 7, 8})
		node.Handle(now, "b", message)
		node.Tick(now.Add(time.Second))
		node.Lookup(now.Add(time.Second), prefix.Chain{1, 2, 3, 4, 5, 6, 7, 8})
	})
}

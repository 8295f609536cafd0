package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// What the prompts of an isolated tenant begin with is kept in one region; prompts of all
// others that begin alike are spread over the regions.
func TestPromptsOfAnIsolatedTenantLieInOneRegion(t *testing.T) {
	regions := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "b1": "b", "c1": "c"})
	tests := []struct {
		key     string
		regions int
	}{{"walled", 1}, {"key", 3}}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			is := is.New(t)
			b := newBench(genuine(http.StatusOK, "done"))
			b.backends = backend.NewRegistry(backend.Config{Zone: "a1", Regions: regions})
			b.forwarder.Backends = b.backends
			var records []backend.Record
			for _, zone := range []ident.Zone{"a1", "b1", "c1"} {
				for number := range 3 {
					records = append(records, backend.Record{
						Instance: ident.Incarnation(fmt.Sprint(zone, "-", number)), Service: "s", Zone: zone, Slots: 4,
						Address: "10.0.0.1:1", Models: map[ident.Model]int{"m": 2},
					})
				}
			}
			b.backends.ApplyList(time.Now(), records)
			places := map[ident.Region]bool{}
			for number := range 40 {
				wanted := request("stream")
				wanted.Key = tt.key
				wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{
					{ID: "first", Tokens: 30_000}, {ID: fmt.Sprint("then-", number), Tokens: 30_000}, {ID: "own", Tokens: 10},
				}}
				b.forward(t, wanted)
			}
			for _, attempt := range b.caller.sent() {
				places[regions.Of(attempt.Target.Zone)] = true
			}
			is.Equal(len(places), tt.regions)
		})
	}
}

package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// line returns a truth record of an engine, at a second of a fixed minute.
func line(second int, engine, kind, rest string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","kind":%q,"engine":%q,"incarnation":%q%s}`+"\n", second, kind, engine, engine+"1", rest)
}

func TestReadWaste(t *testing.T) {
	const prompt = `,"hashes":[1,2,3,4],"prompt_tokens":70,"cached_tokens":`
	cases := []struct {
		name, a, b                     string
		prompts, recomputed, discarded int64
	}{
		{"cached by another engine", line(1, "a", "cache_stored", `,"hashes":[1,2,3]`), line(2, "b", "started", prompt+"16"), 70, 32, 0},
		{"cached by its own engine", line(1, "a", "cache_stored", `,"hashes":[1,2,3]`) + line(2, "a", "started", prompt+"48"), "", 70, 0, 0},
		{"stored later", line(3, "a", "cache_stored", `,"hashes":[1,2,3]`), line(2, "b", "started", prompt+"0"), 70, 0, 0},
		{"evicted in the middle", line(1, "a", "cache_stored", `,"hashes":[1,2,3]`) + line(1, "a", "cache_removed", `,"hashes":[2]`), line(2, "b", "started", prompt+"0"), 70, 16, 0},
		{"crashed", line(1, "a", "cache_stored", `,"hashes":[1]`) + line(1, "a", "crashed", ""), line(2, "b", "started", prompt+"0"), 70, 0, 0},
		{"discarded", line(1, "a", "started", prompt+"0") + line(2, "a", "lost", `,"prefilled_tokens":70,"generated_tokens":5`), line(3, "b", "cancelled", `,"prefilled_tokens":10`), 70, 0, 85},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			serve := func(lines string) *httptest.Server {
				return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, lines) }))
			}
			a, b := serve(test.a), serve(test.b)
			defer a.Close()
			defer b.Close()
			waste, err := ReadWaste(context.Background(), []string{b.URL, a.URL})
			is.NoErr(err)
			is.Equal(waste, Waste{PromptTokens: test.prompts, RecomputedTokens: test.recomputed, DiscardedTokens: test.discarded})
		})
	}
	_, err := wasteOf([]truthRecord{{Kind: truthStarted, PromptTokens: 5}}, 16)
	is.New(t).True(err != nil) // without block hashes the waste is unknown
}

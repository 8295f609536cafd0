package api

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Any body must get an answer, or a typed fault with a remedy without reaching the
// runner.
func FuzzCallerBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"chat","messages":[{"role":"user","content":"hi"}]}`,
		`{"model":"chat","prompt":["hi"],"max_tokens":3,"stream":true}`,
		`{"model":"chat","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1}`,
		`{"model":`, `[]`, `null`, `{"messages":null}`, "\x00", `{"max_tokens":-1}`, `{} {}`,
	} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		runner := &fakeRunner{chunks: []string{"a"}}
		answer := sendRequest(newTestServer(t, runner), http.MethodPost, path, body)
		if answer.Code == http.StatusOK {
			return
		}
		var rejected ErrorBody
		if err := json.Unmarshal(answer.Body.Bytes(), &rejected); err != nil {
			t.Fatalf("status %d without a JSON fault: %q", answer.Code, answer.Body.String())
		}
		if rejected.Error.Kind == fault.Internal || rejected.Error.Remedy == "" || rejected.Error.Ran != fault.RanNo {
			t.Fatalf("a bad body was answered with %+v", rejected.Error)
		}
		if runner.job != nil {
			t.Fatal("a refused request reached the runner")
		}
	})
}

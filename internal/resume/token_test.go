package resume

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

var testKey = []byte("a cluster key of thirty-two byte")

func newSealer(t testing.TB, key []byte) *Sealer {
	sealer, err := NewSealer(key)
	if err != nil {
		t.Fatal(err)
	}
	return sealer
}

func testToken() Token {
	return Token{Tenant: "graz", Service: "dispatch-chat", Node: "n1", Chat: true, Created: 1, Position: dispatch.Position{
		Request: "r", Attempt: 2, Engine: "e", Incarnation: "i", Stream: "s", Version: "v",
		Next: 7, EmittedBytes: 20, EmittedTokens: 5, PromptTokens: 100, CachedTokens: 96,
	}}
}

func TestTokenOpensOnlyForItsTenantAndCluster(t *testing.T) {
	is := is.New(t)
	text, err := newSealer(t, testKey).Seal(testToken())
	is.NoErr(err)
	is.True(len(text) <= MaxTokenLength)
	opened, err := newSealer(t, testKey).Open(text, "graz")
	is.NoErr(err)
	is.Equal(opened, testToken())

	changed := []byte(text)
	changed[len(changed)/2] ^= 1
	cases := map[string]struct {
		text   string
		tenant ident.Tenant
		key    []byte
	}{
		"another tenant":  {text, "linz", testKey},
		"another cluster": {text, "graz", []byte("another cluster key of same size")},
		"changed":         {string(changed), "graz", testKey},
		"cut":             {text[:len(text)-4], "graz", testKey},
		"empty":           {"", "graz", testKey},
		"too long":        {strings.Repeat("A", MaxTokenLength+1), "graz", testKey},
	}
	for name, c := range cases {
		_, err := newSealer(t, c.key).Open(c.text, c.tenant)
		if !fault.Is(err, fault.InvalidToken) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	_, err = NewSealer([]byte("short"))
	is.True(fault.Is(err, fault.InvalidSettings))
}

func FuzzOpen(f *testing.F) {
	// The fuzzing processes must agree on the one valid token, so its salt is fixed.
	sealer := newSealer(f, testKey)
	sealer.salt = [saltBytes]byte{}
	aead, err := sealer.deriveAEAD(sealer.salt[:])
	if err != nil {
		f.Fatal(err)
	}
	sealer.aead = aead
	text, err := sealer.Seal(testToken())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("AQ")
	f.Add(text[:9] + "\n" + text[9:])
	f.Fuzz(func(t *testing.T, input string) {
		opened, err := sealer.Open(input, "graz")
		if err == nil && input != text {
			t.Fatalf("forged token opened: %+v", opened)
		}
		if err != nil && !fault.Is(err, fault.InvalidToken) {
			t.Fatal(err)
		}
	})
}

package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// buildSamples holds messages and rows as encoded by an older build.
const buildSamples = "testdata/build-ab711e7"

// sampleOf returns a value of the type of a sample; names of no other type are datagrams.
func sampleOf(name string) any {
	switch name {
	case "pull":
		return new(upstream.Pull)
	case "update":
		return new(upstream.Update)
	case "router_row":
		return new(routerRow)
	case "naming_row":
		return new(publicationRow)
	case "naming_mark":
		return new(publicationMark)
	case "lease_row":
		return new(lease.Record)
	case "state_row":
		return new(canary.State)
	default:
		return new(datagram)
	}
}

// Messages and rows of an older build are decoded completely, and encoded again they keep all
// of their fields: fields may only be added.
func TestMessagesOfOlderBuild(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(buildSamples, "*.cbor"))
	if err != nil || len(paths) < 15 {
		t.Fatalf("%d samples, %v", len(paths), err)
	}
	strict, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".cbor")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sample, err := os.ReadFile(path)
			is.NoErr(err)
			message := sampleOf(name)
			is.NoErr(strict.Unmarshal(sample, message))
			encoded, err := cbor.Marshal(message)
			is.NoErr(err)
			var before, after any
			is.NoErr(cbor.Unmarshal(sample, &before))
			is.NoErr(cbor.Unmarshal(encoded, &after))
			checkKept(t, name, before, after)
		})
	}
}

// checkKept fails if a part of an earlier value is missing or changed in a later one. A missing
// zero value is equal.
func checkKept(t *testing.T, path string, before, after any) {
	t.Helper()
	switch before := before.(type) {
	case map[any]any:
		found, is := after.(map[any]any)
		if !is {
			t.Errorf("%s: %v became %v", path, before, after)
			return
		}
		for key, value := range before {
			checkKept(t, path+"/"+cborKey(key), value, found[key])
		}
	case []any:
		found, is := after.([]any)
		if !is || len(found) != len(before) {
			t.Errorf("%s: %v became %v", path, before, after)
			return
		}
		for index, value := range before {
			checkKept(t, path, value, found[index])
		}
	default:
		first, _ := cbor.Marshal(before)
		second, _ := cbor.Marshal(after)
		if string(first) != string(second) {
			t.Errorf("%s: %v became %v", path, before, after)
		}
	}
}

func cborKey(key any) string {
	text, _ := cbor.Diagnose(mustMarshal(cbor.Marshal(key)))
	return text
}

func mustMarshal(encoded []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return encoded
}

// Unknown fields of a datagram of a later build are ignored.
func TestMessagesOfLaterBuild(t *testing.T) {
	is := is.New(t)
	encoded, err := cbor.Marshal(map[int]any{2: map[int]any{1: []string{"e"}, 99: "later"}, 98: "later", 97: []int{1}})
	is.NoErr(err)
	var decoded datagram
	is.NoErr(cbor.Unmarshal(encoded, &decoded))
	is.Equal(len(decoded.Health.Silent), 1)
}

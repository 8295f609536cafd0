package model

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Without a token limit, answers have minNaturalTokens to minNaturalTokens +
// naturalSpread - 1 tokens, depending on the hash of the prompt.
const (
	minNaturalTokens = 64
	naturalSpread    = 960
)

// tokenRawBytes is the raw size whose base64 form fills one token.
const tokenRawBytes = 3

// ExpectedText returns the complete text that every engine generates for prompt
// with the given token limit. It is a pure function of its arguments, so that a
// caller can verify that an answer is its own, complete and in order. A
// generation with Continued set to the first n tokens continues at token n.
func ExpectedText(prompt string, maxTokens int) string {
	source := newTextSource(prompt)
	count := min(maxTokens, source.naturalLength)
	var text strings.Builder
	for position := range max(count, 0) {
		text.WriteString(source.token(position))
	}
	return text.String()
}

// textSource is the deterministic answer to one prompt.
type textSource struct {
	seed uint64
	// naturalLength is the number of tokens of an answer without a limit.
	naturalLength int
}

func newTextSource(prompt string) textSource {
	seed := xxhash.Sum64String(prompt)
	return textSource{seed: seed, naturalLength: minNaturalTokens + int(seed%naturalSpread)}
}

// token returns the token at a position, BytesPerToken bytes long.
func (s textSource) token(position int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], s.seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(position))
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], xxhash.Sum64(key[:]))
	return base64.RawURLEncoding.EncodeToString(raw[:tokenRawBytes])[:prefix.BytesPerToken]
}

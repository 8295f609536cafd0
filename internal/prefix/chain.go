// Package prefix computes the chained block hashes of prompts. Its subpackages
// hold beliefs about the blocks that each engine incarnation has cached and the
// sharded directory over all engines.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// BytesPerToken is the size of one token of the published engine protocol:
// engines and routers both count a prompt as ceil(bytes / BytesPerToken).
const BytesPerToken = 4

// DefaultBlockTokens is the usual number of tokens in one cache block.
const DefaultBlockTokens = 16

// Hash identifies a block together with every block before it (a chain hash).
type Hash uint64

// Salt separates cache namespaces: entries under one salt are never found under
// another. It is derived from tenant, model, version and adapter.
type Salt uint64

// Namespace is everything that must match for a cached block to be reusable.
type Namespace struct {
	Tenant  ident.Tenant
	Model   ident.Model
	Version ident.ModelVersion
	Adapter ident.Adapter
}

// Salt derives the salt of the namespace. Fields are length-prefixed, so two
// different namespaces never hash the same bytes.
func (n Namespace) Salt() Salt {
	digest := xxhash.New()
	for _, field := range []string{string(n.Tenant), string(n.Model), string(n.Version), string(n.Adapter)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(field)
	}
	return Salt(digest.Sum64())
}

// Chain is the sequence of chain hashes of a prompt's whole blocks, first
// block first. A trailing partial block is never cached and has no hash.
type Chain []Hash

// ChainOf returns the chain hashes of prompt under salt with the given block
// size in tokens. Hash i covers the prompt's first (i+1)*blockTokens tokens.
func ChainOf(salt Salt, prompt string, blockTokens int) Chain {
	blockBytes := blockTokens * BytesPerToken
	chain := make(Chain, 0, len(prompt)/blockBytes)
	previous := uint64(salt)
	var digest xxhash.Digest
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest.ResetWithSeed(previous)
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		previous = digest.Sum64()
		chain = append(chain, Hash(previous))
	}
	return chain
}

// Tokens returns the number of tokens of a text under the published protocol.
func Tokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

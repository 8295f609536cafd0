package model

import (
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Finish reasons of an end event.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// generation is one accepted request.
type generation struct {
	request   protocol.GenerateRequest
	stream    ident.Stream
	namespace prefix.Namespace
	arrival   uint64

	source textSource
	// offset is the position in the answer at which this attempt starts.
	offset int
	// limit is the number of tokens this attempt emits.
	limit int

	// chain covers prompt, continued text and emitted text; tail is the text
	// after its last whole block.
	chain prefix.Chain
	tail  string
	// pinned are the leading blocks of the chain pinned for this generation.
	pinned []*block
	// uncacheable is set when the cache had no room for the next block or the
	// version was unloaded.
	uncacheable bool

	promptTokens int
	cachedTokens int
	prefilled    int
	emitted      int
	sequence     uint64
	reused       []truth.Reuse
	// running is set when it leaves the waiting queue, done when it ends.
	running bool
	done    bool
}

func newGeneration(request protocol.GenerateRequest, blockTokens int) *generation {
	text := request.Prompt + request.Continued
	source := newTextSource(request.Prompt)
	offset := prefix.Tokens(request.Continued)
	chain := prefix.ChainOf(request.Salt, text, blockTokens)
	return &generation{
		request: request,
		namespace: prefix.Namespace{
			Tenant: request.Tenant, Model: request.Model,
			Version: request.Version, Adapter: request.Adapter,
		},
		source:       source,
		offset:       offset,
		limit:        max(min(request.MaxTokens, source.naturalLength-offset), 0),
		chain:        chain,
		tail:         text[len(chain)*blockTokens*prefix.BytesPerToken:],
		promptTokens: prefix.Tokens(text),
	}
}

// remainingPrefill returns the number of prompt tokens still to compute.
func (g *generation) remainingPrefill() int { return g.promptTokens - g.cachedTokens - g.prefilled }

// before orders generations by priority, then by arrival.
func (g *generation) before(other *generation) bool {
	if g.request.Priority != other.request.Priority {
		return g.request.Priority < other.request.Priority
	}
	return g.arrival < other.arrival
}

// finishReason returns why a complete answer ended.
func (g *generation) finishReason() string {
	if g.offset+g.limit >= g.source.naturalLength {
		return finishStop
	}
	return finishLength
}

// extend appends emitted text to the chain.
func (g *generation) extend(text string, blockTokens int) {
	g.tail += text
	blockBytes := blockTokens * prefix.BytesPerToken
	if len(g.tail) < blockBytes {
		return
	}
	seed := g.request.Salt
	if len(g.chain) > 0 {
		seed = prefix.Salt(g.chain[len(g.chain)-1])
	}
	g.chain = append(g.chain, prefix.ChainOf(seed, g.tail[:blockBytes], blockTokens)...)
	g.tail = g.tail[blockBytes:]
}

// addReuse records the owner of a reused block.
func (g *generation) addReuse(owner prefix.Namespace, incarnation ident.Incarnation, tokens int) {
	for index := range g.reused {
		known := &g.reused[index]
		if known.Tenant == owner.Tenant && known.Model == owner.Model &&
			known.Version == owner.Version && known.Adapter == owner.Adapter {
			known.Tokens += tokens
			return
		}
	}
	g.reused = append(g.reused, truth.Reuse{
		Tenant: owner.Tenant, Model: owner.Model, Version: owner.Version,
		Adapter: owner.Adapter, Incarnation: incarnation, Tokens: tokens,
	})
}

// insertOrdered inserts a generation into an ordered queue.
func insertOrdered(queue []*generation, added *generation) []*generation {
	position := len(queue)
	for position > 0 && added.before(queue[position-1]) {
		position--
	}
	queue = append(queue, nil)
	copy(queue[position+1:], queue[position:])
	queue[position] = added
	return queue
}

// without returns the queue without the generation.
func without(queue []*generation, removed *generation) []*generation {
	for index, entry := range queue {
		if entry == removed {
			return append(queue[:index], queue[index+1:]...)
		}
	}
	return queue
}

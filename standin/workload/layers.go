package workload

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// trimShare is the share of the oldest entries that a full book drops.
const trimShare = 4

// book is the text of one layer for one tenant and one variant.
type book struct {
	layer      Layer
	vocabulary []string
	random     *rand.Rand
	entries    []string
	nextChange time.Duration
	text       string
}

func newBook(layer Layer, vocabulary []string, random *rand.Rand) *book {
	b := &book{layer: layer, vocabulary: vocabulary, random: random}
	if layer.ChangeEvery == 0 {
		b.text = writeText(random, vocabulary, layer.Tokens)
		return b
	}
	// A book starts between half full and full.
	most := b.mostEntries()
	for range most/2 + random.IntN(most-most/2) {
		b.entries = append(b.entries, b.newEntry())
	}
	b.nextChange = b.pause()
	b.text = strings.Join(b.entries, "")
	return b
}

func (b *book) mostEntries() int { return max(b.layer.Tokens/b.layer.EntryTokens, 2) }

func (b *book) newEntry() string { return writeText(b.random, b.vocabulary, b.layer.EntryTokens) }

func (b *book) pause() time.Duration {
	return time.Duration(b.random.ExpFloat64() * float64(b.layer.ChangeEvery))
}

// textAt returns the text at a time, which must not go backwards.
func (b *book) textAt(at time.Duration) string {
	if b.layer.ChangeEvery == 0 || at < b.nextChange {
		return b.text
	}
	for at >= b.nextChange {
		b.change()
		b.nextChange += b.pause() + time.Nanosecond
	}
	b.text = strings.Join(b.entries, "")
	return b.text
}

func (b *book) change() {
	if b.random.Float64() >= b.layer.AppendShare {
		b.entries[b.random.IntN(len(b.entries))] = b.newEntry()
		return
	}
	if most := b.mostEntries(); len(b.entries) >= most {
		b.entries = append([]string(nil), b.entries[max(most/trimShare, 1):]...)
	}
	b.entries = append(b.entries, b.newEntry())
}

// library holds the books of every tenant, written when first read.
type library struct {
	spec  *Spec
	seed  uint64
	books map[string]*book
}

// text returns the text of a layer. The path names tenant, variants and
// revisions down to the layer, so that texts nest.
func (l *library) text(layer Layer, path string, at time.Duration) string {
	key := path + "/" + layer.Name
	found, known := l.books[key]
	if !known {
		found = newBook(layer, vocabularies[l.spec.Vocabulary], newRandom(l.seed, "layer", key))
		l.books[key] = found
	}
	return found.textAt(at)
}

// prompts returns the texts of a class's layers, outermost first.
func (l *library) prompts(tenant ident.Tenant, class Class, random *rand.Rand, at time.Duration) []string {
	path := string(tenant)
	texts := make([]string, 0, len(class.Layers)+1)
	for _, name := range class.Layers {
		layer := l.spec.Layers[l.spec.layerIndex(name)]
		if len(layer.Variants) > 0 {
			variant := l.pickVariant(layer, random, at)
			path += "/" + variant + "." + strconv.Itoa(l.revision(layer, variant, at))
		}
		texts = append(texts, l.text(layer, path, at))
	}
	return texts
}

func (l *library) pickVariant(layer Layer, random *rand.Rand, at time.Duration) string {
	weights := make([]float64, len(layer.Variants))
	for index, variant := range layer.Variants {
		weights[index] = variant.Weight
		for _, event := range l.spec.Events {
			if event.Kind == EventShift && event.Layer == layer.Name && event.Variant == variant.Name && event.activeAt(at) {
				weights[index] *= event.Factor
			}
		}
	}
	return layer.Variants[pick(random, weights)].Name
}

// revision counts the shifts of a variant so far; each one replaces its texts.
func (l *library) revision(layer Layer, variant string, at time.Duration) int {
	revision := 0
	for _, event := range l.spec.Events {
		if event.Kind == EventShift && event.Layer == layer.Name && event.Variant == variant && at >= event.At {
			revision++
		}
	}
	return revision
}

// pick returns an index with a probability proportional to its weight.
func pick(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	rest := random.Float64() * total
	for index, weight := range weights {
		if rest -= weight; rest < 0 {
			return index
		}
	}
	return len(weights) - 1
}

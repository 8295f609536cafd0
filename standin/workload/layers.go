package workload

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// trimDivisor sets the share of oldest entries, 1/trimDivisor, that a full text
// drops.
const trimDivisor = 4

// layerText is the text of one layer for one tenant and one variant, with
// entries that change over time if the layer's ChangeEvery is set.
type layerText struct {
	layer      Layer
	vocabulary []string
	random     *rand.Rand
	entries    []string
	nextChange time.Duration
	text       string
}

func newLayerText(layer Layer, vocabulary []string, random *rand.Rand) *layerText {
	t := &layerText{layer: layer, vocabulary: vocabulary, random: random}
	if layer.ChangeEvery == 0 {
		t.text = writeText(random, vocabulary, layer.Tokens)
		return t
	}
	// Starts between half full and full.
	limit := t.maxEntries()
	for range limit/2 + random.IntN(limit-limit/2) {
		t.entries = append(t.entries, t.newEntry())
	}
	t.nextChange = t.nextInterval()
	t.text = strings.Join(t.entries, "")
	return t
}

func (t *layerText) maxEntries() int { return max(t.layer.Tokens/t.layer.EntryTokens, 2) }

func (t *layerText) newEntry() string { return writeText(t.random, t.vocabulary, t.layer.EntryTokens) }

func (t *layerText) nextInterval() time.Duration {
	return time.Duration(t.random.ExpFloat64() * float64(t.layer.ChangeEvery))
}

// textAt returns the text at the given time, which must not decrease.
func (t *layerText) textAt(at time.Duration) string {
	if t.layer.ChangeEvery == 0 || at < t.nextChange {
		return t.text
	}
	for at >= t.nextChange {
		t.change()
		t.nextChange += t.nextInterval() + time.Nanosecond
	}
	t.text = strings.Join(t.entries, "")
	return t.text
}

func (t *layerText) change() {
	if t.random.Float64() >= t.layer.AppendShare {
		t.entries[t.random.IntN(len(t.entries))] = t.newEntry()
		return
	}
	if limit := t.maxEntries(); len(t.entries) >= limit {
		t.entries = append([]string(nil), t.entries[max(limit/trimDivisor, 1):]...)
	}
	t.entries = append(t.entries, t.newEntry())
}

// layerTexts holds the texts of all tenants, generated on first use.
type layerTexts struct {
	spec  *Spec
	seed  uint64
	texts map[string]*layerText
}

// text returns the text of a layer. The path contains tenant, variants and
// revisions down to the layer, so that texts are nested.
func (l *layerTexts) text(layer Layer, path string, at time.Duration) string {
	key := path + "/" + layer.Name
	existing, known := l.texts[key]
	if !known {
		existing = newLayerText(layer, vocabularies[l.spec.Vocabulary], newRandom(l.seed, "layer", key))
		l.texts[key] = existing
	}
	return existing.textAt(at)
}

// prompts returns the texts of the class's layers, outermost first.
func (l *layerTexts) prompts(tenant ident.Tenant, class Class, random *rand.Rand, at time.Duration) []string {
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

func (l *layerTexts) pickVariant(layer Layer, random *rand.Rand, at time.Duration) string {
	weights := make([]float64, len(layer.Variants))
	for index, variant := range layer.Variants {
		weights[index] = variant.Weight
		for _, event := range l.spec.Events {
			if event.Kind == EventShift && event.Layer == layer.Name && event.Variant == variant.Name && event.activeAt(at) {
				weights[index] *= event.Factor
			}
		}
	}
	return layer.Variants[pickWeighted(random, weights)].Name
}

// revision returns the number of shifts of a variant until at; each replaces its
// texts.
func (l *layerTexts) revision(layer Layer, variant string, at time.Duration) int {
	revision := 0
	for _, event := range l.spec.Events {
		if event.Kind == EventShift && event.Layer == layer.Name && event.Variant == variant && at >= event.At {
			revision++
		}
	}
	return revision
}

// pickWeighted returns an index with a probability proportional to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := random.Float64() * total
	for index, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return index
		}
	}
	return len(weights) - 1
}

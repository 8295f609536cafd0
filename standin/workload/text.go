package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/prefix"
)

var vocabularies = map[string][]string{
	"dispatch": strings.Fields(`container skip haulier depot building site order booking cancellation route driver truck
		gate crew pickup delivery exchange rubble timber gravel soil mixed metal glass paper tender summary firm
		partner region street bridge permit weight limit morning noon evening shift ramp yard crane safety helmet
		rule policy confirm reserve release deliver collect weigh inspect document sign report notify delay reach
		before after within until unless always never only each every between under above behind near along the a
		and or for with without from to at by must may shall should is are was were not`),
	"parking": strings.Fields(`lot bay slot gate barrier kiosk ticket tariff dispute ruling attendant clerk booking traveller
		flight luggage night hour day month pass plate entry exit overstay refund charge receipt member desk rate
		grace minute period terminal airport shuttle queue vehicle car motorcycle van visitor season window
		rule policy confirm reserve release charge refund inspect document sign report notify delay reach
		before after within until unless always never only each every between under above behind near along the a
		and or for with without from to at by must may shall should is are was were not`),
}

// newRandom returns a random source determined by the seed and the parts.
func newRandom(seed uint64, parts ...string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(strings.Join(parts, "\x00"))))
}

// writeText returns random sentences of exactly the given number of tokens.
func writeText(random *rand.Rand, vocabulary []string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	var text strings.Builder
	for text.Len() < size {
		words := 6 + random.IntN(9)
		for range words {
			text.WriteString(vocabulary[random.IntN(len(vocabulary))])
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%d.\n", random.IntN(1000))
	}
	return text.String()[:size]
}

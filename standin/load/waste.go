package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// truthPath is where a stand-in engine serves its truth log, as JSON lines.
const truthPath = "/rehearsal/truth"

// maxTruthLine bounds one line of a truth log, in bytes.
const maxTruthLine = 16 << 20

// Kinds of truth records that the waste is read from.
const (
	truthStarted            = "started"
	truthCancelled          = "cancelled"
	truthLost               = "lost"
	truthCacheStored        = "cache_stored"
	truthCacheRemoved       = "cache_removed"
	truthIncarnationStarted = "life"
	truthCrashed            = "crashed"
)

// truthRecord is the part of a truth record that the waste is read from.
type truthRecord struct {
	Time            time.Time         `json:"time"`
	Kind            string            `json:"kind"`
	Engine          ident.Engine      `json:"engine"`
	Incarnation     ident.Incarnation `json:"incarnation"`
	PromptTokens    int               `json:"prompt_tokens"`
	CachedTokens    int               `json:"cached_tokens"`
	PrefilledTokens int               `json:"prefilled_tokens"`
	GeneratedTokens int               `json:"generated_tokens"`
	Hashes          prefix.Chain      `json:"hashes"`
}

// ReadWaste reads the truth logs of the engines at the base URLs and returns
// the wasted recomputation.
//
// Recomputed tokens are those of a prompt that another engine held when the
// generation began to run, beyond what its own engine had cached. Block hashes
// are salted by tenant, model and version, so an engine that holds them was
// permitted for the tenant. Discarded tokens are those prefilled and generated
// by attempts that ended cancelled or with their engine; text of such an
// attempt that had reached its caller is counted too, so the figure is an
// upper bound. The logs must hold blocks.
func ReadWaste(ctx context.Context, engines []string) (Waste, error) {
	var records []truthRecord
	for _, engine := range engines {
		read, err := readTruth(ctx, engine)
		if err != nil {
			return Waste{}, errors.Wrapf(err, "truth log of %s", engine)
		}
		records = append(records, read...)
	}
	return wasteOf(records, prefix.DefaultBlockTokens)
}

func readTruth(ctx context.Context, engine string) ([]truthRecord, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, engine+truthPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "asking")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("answered with status %d", response.StatusCode)
	}
	return parseTruth(response.Body)
}

func parseTruth(source io.Reader) ([]truthRecord, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 1<<16), maxTruthLine)
	var records []truthRecord
	for scanner.Scan() {
		var record truthRecord
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(err, "record %d", len(records)+1)
		}
		records = append(records, record)
	}
	return records, errors.Wrap(scanner.Err(), "reading")
}

// wasteOf replays the records of all engines in the order of their times.
func wasteOf(records []truthRecord, blockTokens int) (Waste, error) {
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b truthRecord) int { return a.Time.Compare(b.Time) })
	replay := &cacheReplay{blockTokens: blockTokens, held: map[ident.Incarnation]map[prefix.Hash]bool{}, incarnations: map[ident.Engine]ident.Incarnation{}}
	var waste Waste
	chains := 0
	for _, record := range ordered {
		switch record.Kind {
		case truthStarted:
			waste.PromptTokens += int64(record.PromptTokens)
			waste.RecomputedTokens += int64(replay.recomputed(record))
			chains += len(record.Hashes)
		case truthLost, truthCancelled:
			waste.DiscardedTokens += int64(record.PrefilledTokens + record.GeneratedTokens)
		default:
			replay.apply(record)
		}
	}
	if waste.PromptTokens > 0 && chains == 0 {
		return Waste{}, errors.New("the truth logs hold no block hashes; start the stand-in engines with them")
	}
	return waste, nil
}

// cacheReplay is what every engine truly held.
type cacheReplay struct {
	blockTokens  int
	held         map[ident.Incarnation]map[prefix.Hash]bool
	incarnations map[ident.Engine]ident.Incarnation
}

func (r *cacheReplay) apply(record truthRecord) {
	switch record.Kind {
	case truthIncarnationStarted:
		delete(r.held, r.incarnations[record.Engine])
		r.incarnations[record.Engine] = record.Incarnation
	case truthCrashed:
		delete(r.held, record.Incarnation)
	case truthCacheStored:
		blocks, known := r.held[record.Incarnation]
		if !known {
			blocks = map[prefix.Hash]bool{}
			r.held[record.Incarnation] = blocks
		}
		for _, hash := range record.Hashes {
			blocks[hash] = true
		}
	case truthCacheRemoved:
		for _, hash := range record.Hashes {
			delete(r.held[record.Incarnation], hash)
		}
	}
}

// recomputed returns the tokens that the best other engine held beyond what
// the generation's own engine had cached.
func (r *cacheReplay) recomputed(started truthRecord) int {
	best := 0
	for incarnation, blocks := range r.held {
		if incarnation == started.Incarnation {
			continue
		}
		count := 0
		for count < len(started.Hashes) && blocks[started.Hashes[count]] {
			count++
		}
		best = max(best, count*r.blockTokens)
	}
	return max(min(best, started.PromptTokens)-started.CachedTokens, 0)
}

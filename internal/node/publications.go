package node

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// publicationPrefix starts the keys of publication rows. Each version of a model's
// weights has one row, written once by the first router that saw the version, so that
// routers which start later can tell the version's age.
const publicationPrefix = "naming/"

// publicationRow is the value of a publication row.
type publicationRow struct {
	// FirstSeen is the store's own time at which the version was first seen.
	FirstSeen time.Duration `cbor:"1,keyasint"`
	// CompleteTo is the store's revision up to which all earlier publications were known at
	// the write, 0 if unknown.
	CompleteTo uint64 `cbor:"2,keyasint,omitempty"`
	// SeenAtStart is true if the version may have been published long before FirstSeen.
	SeenAtStart bool `cbor:"3,keyasint,omitempty"`
}

const (
	// publicationWritePause is the pause after a failed write of a row; it doubles up to
	// maxPublicationWritePause. Writes are retried until they succeed: the operator's row may
	// have been overwritten, and then this row is the only record of the version.
	publicationWritePause    = 300 * time.Millisecond
	maxPublicationWritePause = 2400 * time.Millisecond
	// maxPublicationRows bounds the rows read per model.
	maxPublicationRows = 500
)

// publicationStore saves and loads the times at which versions were published. It is safe
// for concurrent use.
type publicationStore struct {
	table   store.Table
	timeout time.Duration

	mu sync.Mutex
	// pending holds the rows that are not written yet, by key.
	pending map[string]publicationRow
}

func publicationKey(model ident.Model, version int) string {
	return publicationPrefix + string(model) + "/" + strconv.Itoa(version)
}

// save writes the row of a published version in the background, unless the row exists. It
// retries until it succeeds or ctx ends.
func (p *publicationStore) save(ctx context.Context, model ident.Model, version int, row publicationRow) {
	key := publicationKey(model, version)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, active := p.pending[key]; active {
		return
	}
	if p.pending == nil {
		p.pending = make(map[string]publicationRow)
	}
	p.pending[key] = row
	go p.write(ctx, key)
}

// write writes a pending row.
func (p *publicationStore) write(ctx context.Context, key string) {
	defer p.finish(key)
	for pause := publicationWritePause; ; pause = min(2*pause, maxPublicationWritePause) {
		err := p.tryWrite(ctx, key)
		if err == nil {
			return
		}
		if pause == publicationWritePause {
			log.WithFields(log.Fields{"row": key, "cause": err.Error()}).Warn("naming_not_kept")
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

func (p *publicationStore) tryWrite(ctx context.Context, key string) error {
	value, err := cbor.Marshal(p.rowToWrite(key))
	if err != nil {
		return err
	}
	writeCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, err = p.table.Commit(writeCtx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key}},
		Writes:     []protocol.Write{{Key: key, Value: value}},
	})
	return err
}

// rowToWrite returns a pending row with CompleteTo limited to that of the other pending rows:
// a router that starts requests only changes after that revision, so all earlier publications
// must have rows.
func (p *publicationStore) rowToWrite(key string) publicationRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.pending[key]
	for _, other := range p.pending {
		row.CompleteTo = min(row.CompleteTo, other.CompleteTo)
	}
	return row
}

func (p *publicationStore) finish(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
}

// storedPublications is the content of a model's publication rows.
type storedPublications struct {
	// publications are the versions, oldest first.
	publications []catalog.Publication
	// completeTo is the highest revision up to which the rows state that they are complete.
	completeTo uint64
	// markedTo is the store's own time up to which the rows are complete, 0 without a mark.
	markedTo time.Duration
}

// missing returns the known versions that have no row.
func (p *storedPublications) missing(known []catalog.Publication) []catalog.Publication {
	return slices.DeleteFunc(slices.Clone(known), func(publication catalog.Publication) bool {
		return slices.ContainsFunc(p.publications, func(found catalog.Publication) bool { return found.Version == publication.Version })
	})
}

// load reads the rows of a model. storeTime is the store's own time at localTime.
func (p *publicationStore) load(ctx context.Context, model ident.Model, storeTime time.Duration, localTime time.Time) (storedPublications, error) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	prefix := publicationPrefix + string(model) + "/"
	rows, err := p.table.List(bounded, prefix, maxPublicationRows)
	if err != nil {
		return storedPublications{}, err
	}
	var stored storedPublications
	for _, row := range rows.Rows {
		if row.Key == prefix+markKey {
			stored.markedTo = decodeMark(row.Value)
			continue
		}
		version, err := strconv.Atoi(strings.TrimPrefix(row.Key, prefix))
		var read publicationRow
		if err != nil || cbor.Unmarshal(row.Value, &read) != nil {
			continue
		}
		age := max(storeTime-read.FirstSeen, 0)
		stored.publications = append(stored.publications, catalog.Publication{Version: version, SeenAt: localTime.Add(-age), SeenAtStart: read.SeenAtStart})
		stored.completeTo = max(stored.completeTo, read.CompleteTo)
	}
	slices.SortFunc(stored.publications, func(a, b catalog.Publication) int { return cmp.Compare(a.Version, b.Version) })
	return stored, nil
}

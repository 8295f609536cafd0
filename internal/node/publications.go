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

// publicationPrefix is the begin of the keys of naming rows. There is one row for
// each version of a model's weights, written once by whichever router saw the
// version first, so that a router which starts later knows how old it is.
const publicationPrefix = "naming/"

// publicationRow is the value of a naming row.
type publicationRow struct {
	// FirstSeen is the store's own time at which the version was first seen.
	FirstSeen time.Duration `cbor:"1,keyasint"`
	// CompleteTo is the store's revision up to which all earlier namings were known then, 0 if
	// that was not known.
	CompleteTo uint64 `cbor:"2,keyasint,omitempty"`
	// SeenAtStart is true if the version may have been named long before FirstSeen.
	SeenAtStart bool `cbor:"3,keyasint,omitempty"`
}

const (
	// publicationWritePause is the pause after a failed write of a row; it doubles up to
	// maxPublicationWritePause. A write is tried until it succeeds: the row of the operator may not
	// tell the version any more, and routers that start later then know it by this row only.
	publicationWritePause    = 300 * time.Millisecond
	maxPublicationWritePause = 2400 * time.Millisecond
	// maxPublicationRows bounds the rows read at the start.
	maxPublicationRows = 500
)

// publicationStore keeps and finds the times at which versions were named. It is safe for concurrent
// use.
type publicationStore struct {
	table   store.Table
	timeout time.Duration

	mu sync.Mutex
	// pending are the rows that are being written, by key.
	pending map[string]publicationRow
}

func publicationKey(model ident.Model, version int) string {
	return publicationPrefix + string(model) + "/" + strconv.Itoa(version)
}

// save has the row of a version written that this router knows to be named, unless another
// router did before. It is tried until that is done, or ctx ends, without holding up the
// caller.
func (n *publicationStore) save(ctx context.Context, model ident.Model, version int, row publicationRow) {
	key := publicationKey(model, version)
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, active := n.pending[key]; active {
		return
	}
	if n.pending == nil {
		n.pending = make(map[string]publicationRow)
	}
	n.pending[key] = row
	go n.write(ctx, key)
}

// write writes a pending row.
func (n *publicationStore) write(ctx context.Context, key string) {
	defer n.finish(key)
	for pause := publicationWritePause; ; pause = min(2*pause, maxPublicationWritePause) {
		err := n.tryWrite(ctx, key)
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

func (n *publicationStore) tryWrite(ctx context.Context, key string) error {
	value, err := cbor.Marshal(n.rowToWrite(key))
	if err != nil {
		return err
	}
	writeCtx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	_, err = n.table.Commit(writeCtx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key}},
		Writes:     []protocol.Write{{Key: key, Value: value}},
	})
	return err
}

// rowToWrite returns a pending row as it may be written now. A router that starts from its row
// asks only for changes after the revision that it names, so that all earlier namings must
// have rows: it names none beyond those of the other pending rows.
func (n *publicationStore) rowToWrite(key string) publicationRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.pending[key]
	for _, other := range n.pending {
		row.CompleteTo = min(row.CompleteTo, other.CompleteTo)
	}
	return row
}

func (n *publicationStore) finish(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, key)
}

// storedPublications is what the rows of a model's versions tell.
type storedPublications struct {
	// publications are the versions, oldest first.
	publications []catalog.Publication
	// completeTo is the store's revision up to which all namings are among them, as far as the
	// rows tell.
	completeTo uint64
	// markedTo is the store's own time up to which all namings are among them, 0 if no mark
	// tells it.
	markedTo time.Duration
}

// missing returns those of the known versions of which there is no row.
func (k *storedPublications) missing(known []catalog.Publication) []catalog.Publication {
	return slices.DeleteFunc(slices.Clone(known), func(publication catalog.Publication) bool {
		return slices.ContainsFunc(k.publications, func(found catalog.Publication) bool { return found.Version == publication.Version })
	})
}

// load returns the kept namings of a model. storeTime is the store's time at the moment
// localTime here.
func (n *publicationStore) load(ctx context.Context, model ident.Model, storeTime time.Duration, localTime time.Time) (storedPublications, error) {
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	prefix := publicationPrefix + string(model) + "/"
	rows, err := n.table.List(bounded, prefix, maxPublicationRows)
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

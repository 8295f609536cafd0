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

// namingPrefix is the begin of the keys of naming rows. There is one row for
// each version of a model's weights, written once by whichever router saw the
// version first, so that a router which starts later knows how old it is.
const namingPrefix = "naming/"

// publicationRow is the value of a naming row.
type publicationRow struct {
	// FirstSeen is the store's own time at which the version was first seen.
	FirstSeen time.Duration `cbor:"1,keyasint"`
	// Watched is the store's revision up to which all earlier namings were known then, 0 if
	// that was not known.
	Watched uint64 `cbor:"2,keyasint,omitempty"`
	// Met is true if the version may have been named long before FirstSeen.
	Met bool `cbor:"3,keyasint,omitempty"`
}

const (
	// namingPause is the pause after a failed write of a row; it doubles up to
	// maxNamingPause. A write is tried until it succeeds: the row of the operator may not
	// tell the version any more, and routers that start later then know it by this row only.
	namingPause    = 300 * time.Millisecond
	maxNamingPause = 2400 * time.Millisecond
	// maxNamings bounds the rows read at the start.
	maxNamings = 500
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

func namingKey(model ident.Model, version int) string {
	return namingPrefix + string(model) + "/" + strconv.Itoa(version)
}

// keep has the row of a version written that this router knows to be named, unless another
// router did before. It is tried until that is done, or ctx ends, without holding up the
// caller.
func (n *publicationStore) keep(ctx context.Context, model ident.Model, version int, row publicationRow) {
	key := namingKey(model, version)
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, writing := n.pending[key]; writing {
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
	defer n.written(key)
	for pause := namingPause; ; pause = min(2*pause, maxNamingPause) {
		err := n.tryWrite(ctx, key)
		if err == nil {
			return
		}
		if pause == namingPause {
			log.WithFields(log.Fields{"row": key, "cause": err.Error()}).Warn("naming_not_kept")
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

func (n *publicationStore) tryWrite(ctx context.Context, key string) error {
	value, err := cbor.Marshal(n.claim(key))
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	_, err = n.table.Commit(bounded, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key}},
		Writes:     []protocol.Write{{Key: key, Value: value}},
	})
	return err
}

// claim returns a pending row as it may be written now. A router that starts from its row
// asks only for changes after the revision that it names, so that all earlier namings must
// have rows: it names none beyond those of the other pending rows.
func (n *publicationStore) claim(key string) publicationRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.pending[key]
	for _, other := range n.pending {
		row.Watched = min(row.Watched, other.Watched)
	}
	return row
}

func (n *publicationStore) written(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, key)
}

// kept is what the rows of a model's versions tell.
type kept struct {
	// namings are the versions, oldest first.
	namings []catalog.Publication
	// watched is the store's revision up to which all namings are among them, as far as the
	// rows tell.
	watched uint64
	// marked is the store's own time up to which all namings are among them, 0 if no mark
	// tells it.
	marked time.Duration
}

// lacks returns those of the known versions of which there is no row.
func (k *kept) lacks(known []catalog.Publication) []catalog.Publication {
	return slices.DeleteFunc(slices.Clone(known), func(naming catalog.Publication) bool {
		return slices.ContainsFunc(k.namings, func(found catalog.Publication) bool { return found.Version == naming.Version })
	})
}

// find returns the kept namings of a model. storeTime is the store's time at the moment
// localTime here.
func (n *publicationStore) find(ctx context.Context, model ident.Model, storeTime time.Duration, localTime time.Time) (kept, error) {
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	prefix := namingPrefix + string(model) + "/"
	list, err := n.table.List(bounded, prefix, maxNamings)
	if err != nil {
		return kept{}, err
	}
	var found kept
	for _, row := range list.Rows {
		if row.Key == prefix+markKey {
			found.marked = readMark(row.Value)
			continue
		}
		version, err := strconv.Atoi(strings.TrimPrefix(row.Key, prefix))
		var read publicationRow
		if err != nil || cbor.Unmarshal(row.Value, &read) != nil {
			continue
		}
		age := max(storeTime-read.FirstSeen, 0)
		found.namings = append(found.namings, catalog.Publication{Version: version, SeenAt: localTime.Add(-age), SeenAtStart: read.Met})
		found.watched = max(found.watched, read.Watched)
	}
	slices.SortFunc(found.namings, func(a, b catalog.Publication) int { return cmp.Compare(a.Version, b.Version) })
	return found, nil
}

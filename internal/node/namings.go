package node

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// namingPrefix is the begin of the keys of naming rows. There is one row for
// each version of a model's weights, written once by whichever router saw the
// version first, so that a router which starts later knows how old it is.
const namingPrefix = "naming/"

// namingRow is the value of a naming row.
type namingRow struct {
	// FirstSeen is the store's own time at which the version was first seen.
	FirstSeen time.Duration `cbor:"1,keyasint"`
}

const (
	// namingTries and namingPause bound the writing of one row.
	namingTries = 5
	namingPause = 300 * time.Millisecond
	// maxNamings bounds the rows read at the start.
	maxNamings = 500
)

// namings keeps and finds the times at which versions were named.
type namings struct {
	table   store.Table
	timeout time.Duration
}

func namingKey(model ident.Model, version int) string {
	return namingPrefix + string(model) + "/" + strconv.Itoa(version)
}

// keep writes the row of a version that this router saw being named, unless
// another router did before.
func (n *namings) keep(ctx context.Context, model ident.Model, version int, firstSeen time.Duration) {
	value, err := cbor.Marshal(namingRow{FirstSeen: firstSeen})
	if err != nil {
		return
	}
	key := namingKey(model, version)
	transaction := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key}},
		Writes:     []protocol.Write{{Key: key, Value: value}},
	}
	for range namingTries {
		bounded, cancel := context.WithTimeout(ctx, n.timeout)
		_, err = n.table.Commit(bounded, transaction)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(namingPause):
		}
	}
	log.WithFields(log.Fields{"model": model, "version": version, "cause": err.Error()}).Warn("naming_not_kept")
}

// find returns the kept namings of a model, oldest first. storeTime is the
// store's time at the moment localTime here.
func (n *namings) find(ctx context.Context, model ident.Model, storeTime time.Duration, localTime time.Time) ([]catalog.Naming, error) {
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	prefix := namingPrefix + string(model) + "/"
	list, err := n.table.List(bounded, prefix, maxNamings)
	if err != nil {
		return nil, err
	}
	var found []catalog.Naming
	for _, row := range list.Rows {
		version, err := strconv.Atoi(strings.TrimPrefix(row.Key, prefix))
		var kept namingRow
		if err != nil || cbor.Unmarshal(row.Value, &kept) != nil {
			continue
		}
		age := max(storeTime-kept.FirstSeen, 0)
		found = append(found, catalog.Naming{Version: version, SeenAt: localTime.Add(-age)})
	}
	slices.SortFunc(found, func(a, b catalog.Naming) int { return cmp.Compare(a.Version, b.Version) })
	return found, nil
}

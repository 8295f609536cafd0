package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/catalog"
)

// A configuration that is read and not confirmed must be seen in the log, the metrics and the view.
func TestUnconfirmedReadIsReported(t *testing.T) {
	for _, tt := range []struct {
		name   string
		fault  func(store *lateStore)
		reason catalog.UnconfirmedReason
	}{
		{"no answer", func(store *lateStore) { store.change(func() { store.down = true }) }, catalog.ReadFailed},
		{"unreadable", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = store.reading.Revision+2, []byte("x") })
		}, catalog.RowUnreadable},
		{"no history", func(store *lateStore) {
			store.fail(errors.New("no answer"))
			store.write(12)
		}, catalog.HistoryNotRead},
		{"forgotten history", func(store *lateStore) {
			store.fail(ErrHistoryGone)
			store.write(9)
		}, catalog.HistoryGone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				warned := warnings(t)
				store := newLateStore()
				store.write(10)
				counts := map[catalog.UnconfirmedReason]int{}
				reader := store.router()
				reader.reads.onRead = func(reason catalog.UnconfirmedReason) { counts[reason]++ }
				is.NoErr(reader.readConfiguration(t.Context()))
				time.Sleep(configurationInterval)
				tt.fault(store)
				_ = reader.readConfiguration(t.Context())
				is.Equal(counts, map[catalog.UnconfirmedReason]int{tt.reason: 1})
				is.Equal(reader.replica.holder.View().Unconfirmed.Reason, tt.reason)
				notConfirmed := 0
				for _, event := range warned() {
					if isNotConfirmed(event) {
						notConfirmed++
					}
				}
				is.Equal(notConfirmed, 1)
			})
		})
	}
}

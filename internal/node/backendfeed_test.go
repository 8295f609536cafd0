package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// fakeFeed is a feed of rows whose keys are the part of an instance before the "@".
type fakeFeed struct {
	rows      []BackendRow
	changes   []BackendRow
	revision  uint64
	err       error
	whole     int
	changesOf []uint64
}

// BackendRows implements BackendFeed.
func (f *fakeFeed) BackendRows(context.Context, time.Duration, func() error) (BackendRows, error) {
	f.whole++
	return BackendRows{Rows: f.rows, Revision: f.revision}, nil
}

// BackendChanges implements BackendFeed.
func (f *fakeFeed) BackendChanges(_ context.Context, after uint64) (BackendRows, error) {
	f.changesOf = append(f.changesOf, after)
	return BackendRows{Rows: f.changes, Revision: f.revision}, f.err
}

// KeyOf implements BackendFeed.
func (f *fakeFeed) KeyOf(instance ident.Incarnation) string {
	key, _, _ := strings.Cut(string(instance), "@")
	return key
}

func listed(instance ident.Incarnation, revision uint64) BackendRow {
	key, _, _ := strings.Cut(string(instance), "@")
	return BackendRow{Key: key, Listed: true, Record: backend.Record{Instance: instance, Service: "s", Address: "10.0.0.1:1", Revision: revision}}
}

// newFeedFollower returns a follower that has read a long list at revision 10.
func newFeedFollower(t *testing.T) (*follower, *fakeFeed) {
	feed := &fakeFeed{revision: 10}
	for index := range longList + 10 {
		feed.rows = append(feed.rows, listed(ident.Incarnation(fmt.Sprintf("i-%04d@1", index)), 5))
	}
	f := newFollower(newFakeStore())
	f.feed = feed
	if err := f.readBackends(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f, feed
}

// A long list must be read once, and then by its changes.
func TestLongListIsFollowedByItsChanges(t *testing.T) {
	gone := BackendRow{Key: "i-0003"}
	tests := []struct {
		name    string
		changes []BackendRow
		// has and lacks are instances in the list afterwards, or not.
		has, lacks []ident.Incarnation
		same       bool
	}{
		{"nothing", nil, []ident.Incarnation{"i-0003@1"}, nil, true},
		{"heartbeats", []BackendRow{listed("i-0003@1", 9)}, []ident.Incarnation{"i-0003@1"}, nil, true},
		{"a new back end", []BackendRow{listed("j@1", 9)}, []ident.Incarnation{"j@1", "i-0003@1"}, nil, false},
		{"one that is gone", []BackendRow{gone}, nil, []ident.Incarnation{"i-0003@1"}, false},
		{"one that started again", []BackendRow{listed("i-0003@2", 9)}, []ident.Incarnation{"i-0003@2"}, []ident.Incarnation{"i-0003@1"}, false},
		{"gone, then back", []BackendRow{gone, listed("i-0003@1", 9)}, []ident.Incarnation{"i-0003@1"}, nil, true},
		{"new, then gone", []BackendRow{listed("j@1", 9), {Key: "j"}}, nil, []ident.Incarnation{"j@1"}, true},
		{"an unknown one that is gone", []BackendRow{{Key: "x"}}, nil, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, feed := newFeedFollower(t)
				digest := f.replica.list.digest
				time.Sleep(time.Second)
				feed.changes, feed.revision = tt.changes, 20
				is.NoErr(f.readBackends(t.Context()))
				time.Sleep(time.Second)
				is.NoErr(f.readBackends(t.Context()))
				is.Equal(feed.changesOf, []uint64{10, 20})
				is.Equal(feed.whole, 1)
				for _, instance := range tt.has {
					_, found := f.replica.list.find(instance)
					is.True(found)
					is.True(!f.replica.backends.DrainingOrUnlisted(instance))
				}
				for _, instance := range tt.lacks {
					_, found := f.replica.list.find(instance)
					is.True(!found)
					is.True(f.replica.backends.DrainingOrUnlisted(instance))
				}
				is.Equal(f.replica.list.digest == digest, tt.same)
				is.Equal(digestOf(f.replica.list.records), f.replica.list.digest)
				is.Equal(f.replica.listAge(time.Now(), time.Time{}), time.Duration(0))
			})
		})
	}
}

// Without the changes since its revision, or with a list from elsewhere, the whole list is read.
func TestWholeListIsReadAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, feed := newFeedFollower(t)
		time.Sleep(time.Second)
		feed.err = ErrHistoryGone
		is.NoErr(f.readBackends(t.Context()))
		is.Equal(feed.whole, 2)
		feed.err = errors.New("down")
		time.Sleep(time.Second)
		is.True(f.readBackends(t.Context()) != nil)
		is.Equal(feed.whole, 2)
		feed.err = nil
		older := fullList([]backend.Record{{Instance: "i-0001@1"}})
		f.replica.applyList("peer", time.Now(), older)
		time.Sleep(time.Second)
		is.NoErr(f.readBackends(t.Context()))
		is.Equal(feed.whole, 3)
	})
}

// A router that takes over continues after the revision of the list that its peer sent.
func TestNewReaderContinuesAfterPeersRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, feed := newFeedFollower(t)
		successor := newFollower(newFakeStore())
		successor.feed = feed
		update := f.replica.Update(time.Now(), fullPull())
		is.NoErr(update.Unpack())
		successor.replica.applyList("n", time.Now(), &update.List)
		time.Sleep(time.Second)
		feed.changes = []BackendRow{{Key: "i-0003"}}
		is.NoErr(successor.readBackends(t.Context()))
		is.Equal(feed.changesOf, []uint64{10})
		is.Equal(feed.whole, 1)
		_, found := successor.replica.list.find("i-0003@1")
		is.True(!found)
	})
}

// A long list whose changes are never answered must be read whole, or engines that appear or leave
// stay unknown until the feed works.
func TestWholeListIsReadWhileChangesAreNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, feed := newFeedFollower(t)
		feed.err = errors.New("no answer")
		feed.rows = append(feed.rows, listed("j@1", 15))
		feed.revision = 20
		time.Sleep(maxListChangesAge - time.Second)
		is.True(f.readBackends(t.Context()) != nil)
		is.Equal(feed.whole, 1)
		time.Sleep(time.Second)
		is.NoErr(f.readBackends(t.Context()))
		is.Equal(feed.whole, 2)
		_, found := f.replica.list.find("j@1")
		is.True(found)
		is.Equal(f.replica.listAge(time.Now(), time.Time{}), time.Duration(0))
	})
}

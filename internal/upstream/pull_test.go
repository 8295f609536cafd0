package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// fakeState is a State that a test confirms.
type fakeState struct {
	mu           sync.Mutex
	confirmation uint64
	changed      chan struct{}
	readAt       time.Time
	// caches are sent on request; positions are those of the last pull.
	caches    []promptcache.Update
	positions []promptcache.Position
}

func newFakeState() *fakeState {
	return &fakeState{confirmation: 1, changed: make(chan struct{}), readAt: time.Now()}
}

func (s *fakeState) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmation++
	s.readAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeState) Confirmation() (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmation, s.changed
}

func (s *fakeState) Pending(time.Time) bool { return false }

func (s *fakeState) Revision() uint64 { return fakeRevision }

// fakeRevision is the revision of the router that has a fakeState.
const fakeRevision = 7

func (s *fakeState) Update(now time.Time, pull *upstream.Pull) *upstream.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &upstream.Update{
		Revision: fakeRevision, Confirmation: s.confirmation, Origin: "reader", Routers: 3,
		Configuration: upstream.Configuration{Revision: 5, Age: now.Sub(s.readAt)},
		List:          upstream.List{Digest: 9, Age: now.Sub(s.readAt)},
	}
	if pull.Caches {
		update.Caches, s.positions = s.caches, pull.CachePositions
	}
	if pull.List != 9 {
		update.List.Records = []backend.Record{{Instance: "i", Models: map[ident.Model]int{"m": 2}}}
	}
	return update
}

func serve(t *testing.T, handler http.Handler) upstream.Peer {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return upstream.Peer{Node: "reader", Addr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Revision: 7}
}

func TestPullReturnsMissingState(t *testing.T) {
	is := is.New(t)
	var followed []ident.Node
	peer := serve(t, upstream.NewServer(newFakeState(), func(peer upstream.Peer) { followed = append(followed, peer.Node) }))
	client := upstream.NewClient()
	from := upstream.Peer{Node: "asker", Addr: addr, Revision: 8}
	update, at, err := client.Pull(t.Context(), peer, &upstream.Pull{From: from})
	is.NoErr(err)
	is.Equal(update.Routers, 3)
	is.Equal(update.List.Records[0].Models["m"], 2)
	is.True(!at.After(time.Now()))
	update, _, err = client.Pull(t.Context(), peer, &upstream.Pull{From: from, List: 9})
	is.NoErr(err)
	is.Equal(len(update.List.Records), 0)
	is.Equal(followed, []ident.Node{"asker", "asker"})
}

func TestPullReturnsCacheUpdates(t *testing.T) {
	is := is.New(t)
	sent := []promptcache.Update{{
		Position: promptcache.Position{Store: addr, Epoch: 3, Next: 9}, Since: 7, Age: time.Second,
		Entries: []promptcache.Entry{{Key: 1 << 63, Tokens: 800}, {Key: 5}},
	}}
	state := newFakeState()
	state.caches = sent
	peer := serve(t, upstream.NewServer(state, func(upstream.Peer) {}))
	positions := []promptcache.Position{{Store: addr, Epoch: 3, Next: 7}}
	update, _, err := upstream.NewClient().Pull(t.Context(), peer, &upstream.Pull{Caches: true, CachePositions: positions})
	is.NoErr(err)
	is.Equal(update.Caches, sent)
	is.Equal(state.positions, positions)
}

// State in a delayed answer must not count as newer than its read.
func TestDelayedAnswerKeepsReadTime(t *testing.T) {
	is := is.New(t)
	state := newFakeState()
	// The confirmation follows the pull by a fixed time, also on a slow machine.
	peer := serve(t, upstream.NewServer(state, func(upstream.Peer) {
		time.AfterFunc(50*time.Millisecond, state.confirm)
	}))
	update, at, err := upstream.NewClient().Pull(t.Context(), peer, &upstream.Pull{Confirmation: 1})
	is.NoErr(err)
	is.Equal(update.Confirmation, uint64(2))
	is.True(update.HeldFor >= 50*time.Millisecond)
	is.True(!at.Add(-update.Configuration.Age).After(state.readAt)) // never newer than the read
}

func TestInvalidAnswersAreRejected(t *testing.T) {
	answer := func(status int, update *upstream.Update) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			encoded, _ := cbor.Marshal(update)
			w.WriteHeader(status)
			_, _ = w.Write(encoded)
		}
	}
	tests := []struct {
		name    string
		handler http.Handler
	}{
		{"other status", answer(http.StatusServiceUnavailable, &upstream.Update{})},
		{"no CBOR", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) })},
		{"delayed for longer than the pull took", answer(http.StatusOK, &upstream.Update{HeldFor: time.Hour})},
		{"from the future", answer(http.StatusOK, &upstream.Update{Configuration: upstream.Configuration{Age: -time.Second}})},
		{"a list from the future", answer(http.StatusOK, &upstream.Update{List: upstream.List{Age: -time.Second}})},
		{"a publication from the future", answer(http.StatusOK, &upstream.Update{
			Configuration: upstream.Configuration{Publications: []upstream.Publication{{Age: -time.Second}}},
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := upstream.NewClient().Pull(t.Context(), serve(t, tt.handler), &upstream.Pull{})
			is.New(t).True(err != nil)
		})
	}
}

func TestInvalidPullsAreRejected(t *testing.T) {
	tests := []struct {
		name, path, body string
	}{
		{"no CBOR", upstream.Path, "\xff\xff"},
		{"other path", "/other", "\xa0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			req := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
			upstream.NewServer(newFakeState(), func(upstream.Peer) {}).ServeHTTP(rec, req)
			is.New(t).Equal(rec.Code, http.StatusBadRequest)
		})
	}
}

// A router without state delays the answers to its followers, not those to earlier routers.
func TestRouterWithoutStateDelaysOnlyFollowers(t *testing.T) {
	tests := []struct {
		name         string
		from         uint64
		confirmation uint64
		delayed      bool
	}{
		{"behind", fakeRevision + 1, 0, true},
		{"before", fakeRevision - 1, 0, false},
		{"behind, with state of a former incarnation", fakeRevision + 1, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				state := newFakeState()
				state.confirmation = 0
				startedAt := time.Now()
				time.AfterFunc(30*time.Millisecond, state.confirm)
				pull := &upstream.Pull{From: upstream.Peer{Node: "asker", Revision: tt.from}, Confirmation: tt.confirmation}
				is.True(upstream.AwaitConfirmation(t.Context(), state, pull))
				is.Equal(time.Since(startedAt) > 0, tt.delayed)
			})
		})
	}
}

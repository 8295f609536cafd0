package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/clock"
)

// Path is the path of pull requests.
const Path = "/v1/pull"

const (
	maxPullBytes   = 4 << 10
	maxUpdateBytes = 8 << 20
	// maxHold bounds how long an answer is delayed until there is newer state.
	maxHold = 1200 * time.Millisecond
	// maxHoldUnsupplied replaces maxHold at a router that has no state yet.
	maxHoldUnsupplied = 150 * time.Millisecond
	// keepAlive, in seconds, lets peers keep connections between two pulls.
	keepAlive = "timeout=30"
)

// State is the state that a Server serves. Its methods are safe for concurrent use.
type State interface {
	// Update returns what the pulling router lacks.
	Update(now time.Time, pull *Pull) *Update
	// Confirmation returns the number of the newest confirmation, 0 while the state
	// is incomplete, and a channel that is closed at the next one.
	Confirmation() (uint64, <-chan struct{})
	// Pending reports whether this router has no state yet, but is about to be supplied. A change
	// closes the channel of Confirmation.
	Pending(now time.Time) bool
	// Revision returns the revision of this router's row, 0 if it has none yet.
	Revision() uint64
}

// Server answers pulls.
type Server struct {
	state State
	// onPull is called with the router that pulls.
	onPull func(Peer)
}

// NewServer returns a handler of pulls that calls onPull with each router that pulls.
func NewServer(state State, onPull func(Peer)) *Server {
	return &Server{state: state, onPull: onPull}
}

// ServeHTTP implements http.Handler. It delays the answer until there is newer state, for a
// bounded time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := clock.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPullBytes))
	var pull Pull
	if err != nil || r.URL.Path != Path || cbor.Unmarshal(body, &pull) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.onPull(pull.From)
	if !AwaitConfirmation(r.Context(), s.state, &pull) {
		return
	}
	now := clock.Now()
	update := s.state.Update(now, &pull)
	update.HeldFor = now.Sub(receivedAt)
	encoded, err := cbor.Marshal(update)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Keep-Alive", keepAlive)
	_, _ = w.Write(encoded)
}

// AwaitConfirmation waits until there is newer state than the pulling router has, for a
// bounded time, and returns false if ctx ends first.
//
// A router without state lets its followers wait as well, since it is about to be supplied
// itself. An earlier router must not wait: each of two restarted routers may expect the
// other to supply it.
func AwaitConfirmation(ctx context.Context, state State, pull *Pull) bool {
	bound := maxHold
	if newest, _ := state.Confirmation(); newest == 0 && !pull.Pending {
		bound = maxHoldUnsupplied
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for {
		newest, changed := state.Confirmation()
		if newest != pull.Confirmation || (newest == 0 && !isFollower(state, pull)) {
			return true
		}
		if newest == 0 && state.Pending(clock.Now()) != pull.Pending {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// isFollower reports whether the pulling router comes after this one.
func isFollower(state State, pull *Pull) bool {
	own := state.Revision()
	return own != 0 && pull.From.Revision > own
}

package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/clock"
)

// Path is where a Server takes pulls.
const Path = "/v1/pull"

const (
	// maxPullBytes and maxUpdateBytes bound the bytes of a Pull and an Update.
	maxPullBytes   = 4 << 10
	maxUpdateBytes = 8 << 20
	// maxHold bounds how long an answer is held back for something new.
	maxHold = 1200 * time.Millisecond
	// maxHoldUnsupplied bounds how long a router that knows nothing yet holds those
	// behind it: about the time in which the first router of all is supplied.
	maxHoldUnsupplied = 150 * time.Millisecond
	// keepAlive is told to peers in seconds, so that they keep connections
	// between two pulls.
	keepAlive = "timeout=30"
)

// State is what a Server tells. Its methods are safe for concurrent use.
type State interface {
	// Update returns what the asker lacks.
	Update(now time.Time, pull *Pull) *Update
	// Confirmation returns the number of the newest confirmation, 0 while the state
	// is not known in whole, and a channel that is closed at the next one.
	Confirmation() (uint64, <-chan struct{})
	// Revision returns the revision of this router's row, 0 if it has none yet.
	Revision() uint64
}

// Server answers pulls.
type Server struct {
	state State
	// onPull takes in who pulls.
	onPull func(Peer)
}

// NewServer returns a handler of pulls that tells followed each asker.
func NewServer(state State, onPull func(Peer)) *Server {
	return &Server{state: state, onPull: onPull}
}

// ServeHTTP implements http.Handler. An answer is held back until there is
// something new, for a bounded time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	askedAt := clock.Now()
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
	update.HeldFor = now.Sub(askedAt)
	encoded, err := cbor.Marshal(update)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Keep-Alive", keepAlive)
	_, _ = w.Write(encoded)
}

// AwaitConfirmation waits until there is news for the asker, for a bounded time, and reports
// whether ctx is still open.
//
// A router that knows nothing yet lets those behind it wait as well: it is about to
// be supplied itself. One before it must not wait, since each of two restarted
// routers may take the other for the one that supplies it.
func AwaitConfirmation(ctx context.Context, state State, pull *Pull) bool {
	bound := maxHold
	if newest, _ := state.Confirmation(); newest == 0 {
		bound = maxHoldUnsupplied
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for {
		newest, changed := state.Confirmation()
		if newest != pull.Confirmation || (newest == 0 && !isFollower(state, pull)) {
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

// isFollower reports whether the asker comes after the router that it asks.
func isFollower(state State, pull *Pull) bool {
	own := state.Revision()
	return own != 0 && pull.From.Revision > own
}

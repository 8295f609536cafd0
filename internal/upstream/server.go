package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Path is where a Server takes pulls.
const Path = "/v1/pull"

const (
	// maxPull and maxUpdate bound the bytes of a Pull and an Update.
	maxPull   = 4 << 10
	maxUpdate = 8 << 20
	// holdFor bounds how long an answer is held back for something new.
	holdFor = 1200 * time.Millisecond
	// keepAlive is told to peers in seconds, so that they keep connections
	// between two pulls.
	keepAlive = "timeout=30"
)

// State is what a Server tells. Its methods are safe for concurrent use.
type State interface {
	// Update returns what the asker lacks.
	Update(now time.Time, pull *Pull) *Update
	// Confirmation returns the number of the newest confirmation, and a channel
	// that is closed at the next one.
	Confirmation() (uint64, <-chan struct{})
}

// Server answers pulls.
type Server struct {
	state State
	// followed takes in who pulls.
	followed func(Peer)
}

// NewServer returns a handler of pulls that tells followed each asker.
func NewServer(state State, followed func(Peer)) *Server {
	return &Server{state: state, followed: followed}
}

// ServeHTTP implements http.Handler. An answer is held back until there is
// something new, for a bounded time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	askedAt := time.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPull))
	var pull Pull
	if err != nil || r.URL.Path != Path || cbor.Unmarshal(body, &pull) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.followed(pull.From)
	if !s.hold(r, &pull) {
		return
	}
	now := time.Now()
	update := s.state.Update(now, &pull)
	update.Held = now.Sub(askedAt)
	encoded, err := cbor.Marshal(update)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Keep-Alive", keepAlive)
	_, _ = w.Write(encoded)
}

// hold waits for news, and reports whether the asker is still there.
func (s *Server) hold(r *http.Request, pull *Pull) bool {
	newest, changed := s.state.Confirmation()
	if pull.Confirmation == 0 || newest != pull.Confirmation {
		return true
	}
	timer := time.NewTimer(holdFor)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

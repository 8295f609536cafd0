package peer

import (
	"context"
	"crypto/hmac"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Server answers the calls of other routers. It is an http.Handler that must be mounted at
// Prefix, and is safe for concurrent use.
type Server struct {
	sealer   *sealer
	maxBody  int64
	mutex    sync.RWMutex
	handlers map[string]rawHandler
	refused  atomic.Uint64
	answered atomic.Uint64
}

type rawHandler func(ctx context.Context, body []byte) ([]byte, error)

// ServerCounters is a snapshot of a server's counters.
type ServerCounters struct {
	// Answered counts authenticated calls, Refused the others.
	Answered, Refused uint64
}

// NewServer returns a server without methods. maxBody bounds request bodies in
// bytes; zero means DefaultMaxBody.
func NewServer(clusterKey []byte, maxBody int64) (*Server, error) {
	sealer, err := newSealer(clusterKey)
	if err != nil {
		return nil, err
	}
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	return &Server{sealer: sealer, maxBody: maxBody, handlers: map[string]rawHandler{}}, nil
}

// Handle registers the handler of a method and replaces any former one. Method names consist
// of lower-case letters, digits, '-' and '.'; methods must be idempotent (see the package
// comment).
func Handle[Request, Reply any](server *Server, method string, handler func(ctx context.Context, request Request) (Reply, error)) error {
	if !validMethod(method) {
		return fault.New(fault.Internal, "peer method name %q is malformed", method)
	}
	raw := func(ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := server.sealer.decode(body, &request); err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "cannot decode the body of peer method %q", method).
				WithRemedy("run router versions that share a peer protocol")
		}
		reply, err := handler(ctx, request)
		if err != nil {
			return nil, err
		}
		encoded, err := cbor.Marshal(reply)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "encode the reply of peer method %q", method).WithRan(fault.RanUnknown)
		}
		return encoded, nil
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.handlers[method] = raw
	return nil
}

// Counters returns the server's counters.
func (s *Server) Counters() ServerCounters {
	return ServerCounters{Answered: s.answered.Load(), Refused: s.refused.Load()}
}

// ServeHTTP implements http.Handler. An unauthenticated request gets only a status, so that
// the server computes no MAC for unknown senders.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	method, hasPrefix := strings.CutPrefix(request.URL.Path, Prefix)
	nonce := request.Header.Get(nonceHeader)
	if !hasPrefix || !validMethod(method) || request.Method != http.MethodPost || len(nonce) != 2*nonceSize {
		s.refuse(writer, http.StatusUnauthorized)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, s.maxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			s.refuse(writer, http.StatusRequestEntityTooLarge)
			return
		}
		s.refuse(writer, http.StatusBadRequest)
		return
	}
	expected := s.sealer.requestMAC(method, nonce, body)
	if !hmac.Equal([]byte(expected), []byte(request.Header.Get(macHeader))) {
		s.refuse(writer, http.StatusUnauthorized)
		return
	}
	s.answered.Add(1)
	reply, err := s.call(request.Context(), method, body)
	status := http.StatusOK
	if err != nil {
		wire := toWire(err)
		status = wire.Kind.Status()
		reply, err = cbor.Marshal(wire)
	}
	if err != nil {
		s.refuse(writer, http.StatusInternalServerError)
		return
	}
	s.reply(writer, method, nonce, status, reply)
}

func (s *Server) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	s.mutex.RLock()
	handler, found := s.handlers[method]
	s.mutex.RUnlock()
	if !found {
		return nil, fault.New(fault.UnknownRoute, "this router has no peer method %q", method).
			WithRemedy("run router versions that share a peer protocol")
	}
	return handler(ctx, body)
}

func (s *Server) reply(writer http.ResponseWriter, method, nonce string, status int, body []byte) {
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set(macHeader, s.sealer.replyMAC(method, nonce, status, body))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // the caller may be gone
}

func (s *Server) refuse(writer http.ResponseWriter, status int) {
	s.refused.Add(1)
	writer.WriteHeader(status)
}

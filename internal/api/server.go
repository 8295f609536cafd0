// Package api is the HTTP interface to callers: an OpenAI-compatible chat and
// completions API with server-sent events, resumption of streams, application
// services and health.
//
// Errors are JSON {"error": {kind, message, remedy, ran, retry_after_millis}}
// with the HTTP status of the kind. A stream that breaks ends with an "error"
// event that carries the same JSON, and without [DONE].
package api

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/resume"
)

// CatalogSource provides the fleet file in force.
type CatalogSource interface {
	// Current returns the catalog, or false if there is none yet.
	Current() (Catalog, bool)
}

// Catalog is an immutable fleet file.
type Catalog interface {
	// Authenticate returns the tenant of a bearer key.
	Authenticate(key string) (ident.Tenant, bool)
	// Tenant returns a tenant's entry.
	Tenant(name ident.Tenant) (fleet.Tenant, bool)
	// Zones returns the zones that the tenant's data may be in.
	Zones(name ident.Tenant) map[ident.Zone]bool
	// Service returns a service's entry.
	Service(name ident.Service) (fleet.Service, bool)
	// Class returns a class's entry with defaults applied.
	Class(name ident.Class) (fleet.Class, bool)
	// Versions returns the permitted versions of a model, preferred first.
	Versions(model ident.Model) []ident.ModelVersion
	// Engine returns an engine's entry.
	Engine(name ident.Engine) (fleet.Engine, bool)
}

// Runner runs requests; *dispatch.Dispatcher implements it.
type Runner interface {
	// Run runs a model request.
	Run(ctx context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Completion, error)
	// Resume streams the rest of an answer.
	Resume(ctx context.Context, job dispatch.ResumeJob, sink dispatch.Sink) (dispatch.Completion, error)
	// RunApplication runs an application request.
	RunApplication(ctx context.Context, job *dispatch.ApplicationJob) (dispatch.Answer, error)
}

var _ Runner = (*dispatch.Dispatcher)(nil)

// State is the state of the router on /healthz and /readyz.
type State string

const (
	// StateStarting means that no fleet file is in force yet.
	StateStarting State = "starting"
	// StateServing means that requests are accepted.
	StateServing State = "serving"
	// StateShuttingDown means that open requests finish, then the process exits.
	StateShuttingDown State = "leaving"
)

// Config limits what callers may send and how slowly they may read. Zero fields
// mean the defaults.
type Config struct {
	// MaxBodyBytes bounds a request body. Default: 4 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's headers. Default: 32 KiB.
	MaxHeaderBytes int
	// MaxPromptTokens bounds a rendered prompt. Default: 262144.
	MaxPromptTokens int
	// MaxTokens bounds max_tokens. Default: 16384.
	MaxTokens int
	// DefaultMaxTokens applies to a request without max_tokens. Default: 1024.
	DefaultMaxTokens int
	// BodyTimeout bounds reading a request body. Default: 30s.
	BodyTimeout time.Duration
	// WriteTimeout bounds the wait for a slow reader. Default: 15s.
	WriteTimeout time.Duration
	// BufferedChunks bounds the chunks waiting for a slow reader. Default: 256.
	BufferedChunks int
	// RetryAfter is sent with a temporary fault that states no time. Default: 1s.
	RetryAfter time.Duration
	// OnFault is called with every fault returned to a caller. It must not block.
	// May be nil.
	OnFault func(*fault.Fault)
	// Node is the name of this router.
	Node ident.Node
	// KeepStream notifies another router that a stream of its own was resumed
	// here, so that it drops the pending cancel. It must not block. May be nil.
	KeepStream func(node ident.Node, stream ident.Stream)
}

// The defaults of Config, and the fixed bounds of the HTTP server.
const (
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxPromptTokens  = 262144
	defaultMaxTokens        = 16384
	defaultDefaultMaxTokens = 1024
	defaultBodyTimeout      = 30 * time.Second
	defaultWriteTimeout     = 15 * time.Second
	defaultBufferedChunks   = 256
	defaultRetryAfter       = time.Second
	readHeaderTimeout       = 10 * time.Second
	idleTimeout             = 2 * time.Minute
	// fallbackHold is the hold time of a class without one.
	fallbackHold = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, defaultMaxHeaderBytes)
	c.MaxPromptTokens = cmp.Or(c.MaxPromptTokens, defaultMaxPromptTokens)
	c.MaxTokens = cmp.Or(c.MaxTokens, defaultMaxTokens)
	c.DefaultMaxTokens = cmp.Or(c.DefaultMaxTokens, defaultDefaultMaxTokens)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, defaultBodyTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWriteTimeout)
	c.BufferedChunks = cmp.Or(c.BufferedChunks, defaultBufferedChunks)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	if c.OnFault == nil {
		c.OnFault = func(*fault.Fault) {}
	}
	return c
}

// shutdownRetryAfter is the Retry-After of a router about to close its listener:
// it has stopped, or was replaced, by then.
const shutdownRetryAfter = time.Second

// Server serves callers. It is safe for concurrent use.
type Server struct {
	rejecting atomic.Bool
	config    Config
	catalogs  CatalogSource
	runner    Runner
	tokens    *resume.Sealer
	state     func() State
}

// NewServer returns a Server; state is called on every request.
func NewServer(config Config, catalogs CatalogSource, runner Runner, tokens *resume.Sealer, state func() State) *Server {
	return &Server{config: config.withDefaults(), catalogs: catalogs, runner: runner, tokens: tokens, state: state}
}

// Handler returns the handler of every caller route.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", s.withAuthentication(s.models)).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", s.withAuthentication((*exchange).chatCompletions)).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", s.withAuthentication((*exchange).completions)).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams", s.withAuthentication(s.streams)).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/").HandlerFunc(s.withAuthentication(s.application))
	router.NotFoundHandler = http.HandlerFunc(s.unknownRoute)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.unknownRoute)
	return router
}

// NewHTTPServer returns an http.Server for the handler with bounded headers and
// idle times. The handlers bound bodies and answers themselves.
func (s *Server) NewHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		MaxHeaderBytes:    s.config.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// exchange is one authenticated request.
type exchange struct {
	server  *Server
	catalog Catalog
	tenant  ident.Tenant
	writer  http.ResponseWriter
	request *http.Request
}

// RejectNewRequests rejects new requests with Retry-After, without running them;
// open ones continue. It sends callers to other routers before the listener
// closes, which would reset a connection that is just being opened.
func (s *Server) RejectNewRequests() { s.rejecting.Store(true) }

// withAuthentication authenticates a request, runs the handler and writes its
// fault. A handler returns a fault only if it has written nothing.
func (s *Server) withAuthentication(handler func(*exchange) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if s.state() == StateShuttingDown {
			writer.Header().Set("Connection", "close")
		}
		if s.rejecting.Load() {
			s.writeFault(writer, request, fault.New(fault.ShuttingDown, "this router is stopping").WithRetryAfter(shutdownRetryAfter))
			return
		}
		authenticated, err := s.authenticate(writer, request)
		if err == nil {
			err = handler(authenticated)
		}
		if err != nil {
			s.writeFault(writer, request, fault.From(err))
		}
	}
}

func (s *Server) authenticate(writer http.ResponseWriter, request *http.Request) (*exchange, error) {
	catalog, loaded := s.catalogs.Current()
	if !loaded {
		return nil, fault.New(fault.NotReady, "this router has no fleet file yet")
	}
	key, found := bearerKey(request.Header.Values("Authorization"))
	if !found {
		return nil, fault.New(fault.Unauthorized, "the request has no bearer key, or more than one")
	}
	tenant, known := catalog.Authenticate(key)
	if !known {
		return nil, fault.New(fault.Unauthorized, "the bearer key is unknown")
	}
	return &exchange{server: s, catalog: catalog, tenant: tenant, writer: writer, request: request}, nil
}

func (s *Server) unknownRoute(writer http.ResponseWriter, request *http.Request) {
	s.writeFault(writer, request, fault.New(fault.UnknownRoute, "there is no route for this method (%.10q) and path", request.Method))
}

// service returns a service of this kind that the tenant may use.
func (e *exchange) service(name ident.Service, kind fleet.ServiceKind) (fleet.Service, error) {
	service, known := e.catalog.Service(name)
	if !known || service.Kind != kind {
		return fleet.Service{}, fault.New(fault.UnknownService, "there is no %s service %.80q", kind, string(name))
	}
	if !e.mayUse(name) {
		return fleet.Service{}, fault.New(fault.Forbidden, "the tenant may not use service %q", string(name))
	}
	return service, nil
}

func (e *exchange) mayUse(name ident.Service) bool {
	tenant, known := e.catalog.Tenant(e.tenant)
	if !known {
		return false
	}
	for _, permitted := range tenant.Services {
		if permitted == name {
			return true
		}
	}
	return false
}

// headerClass is the header that selects a priority class.
const headerClass = "X-Class"

// class returns the requested class, or the first one of the service.
func (e *exchange) class(service fleet.Service) (fleet.Class, error) {
	values := e.request.Header.Values(headerClass)
	if len(values) > 1 {
		return fleet.Class{}, fault.New(fault.BadRequest, "the %s header appears more than once", headerClass)
	}
	if len(service.Classes) == 0 {
		return fleet.Class{}, fault.New(fault.Internal, "service %q has no class", string(service.Name))
	}
	name := service.Classes[0]
	if len(values) == 1 {
		name = ident.Class(values[0])
	}
	for _, permitted := range service.Classes {
		if permitted != name {
			continue
		}
		class, known := e.catalog.Class(name)
		if !known {
			return fleet.Class{}, fault.New(fault.Internal, "class %q is not in the fleet file", string(name))
		}
		class.MaxHold = cmp.Or(class.MaxHold, fallbackHold)
		return class, nil
	}
	return fleet.Class{}, fault.New(fault.Forbidden, "class %.80q is not one of service %q", string(name), string(service.Name))
}

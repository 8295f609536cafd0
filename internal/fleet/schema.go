// Package fleet holds the fleet file: its schema, its checks, the difference
// between two files, and how a file is applied and spread.
//
// A fleet file is applied as a whole. Nothing in it is a command; it states
// what shall hold, and routers and the control duty bring it about.
package fleet

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// SchemaVersion is the value of Document.Schema that this program reads.
const SchemaVersion = "fieldpond/v1"

// Version counts accepted fleet files, starting at 1. Zero means none yet.
type Version uint64

// Document is one whole fleet file.
type Document struct {
	// Schema must be "fieldpond/v1".
	Schema string `yaml:"schema" validate:"required"`
	// Name is the deployment's name, for people.
	Name string `yaml:"name" validate:"required"`
	// Regions lists every place data may live in.
	Regions []Region `yaml:"regions" validate:"required,min=1,dive"`
	// Models lists the models and the versions that may serve.
	Models []Model `yaml:"models" validate:"dive"`
	// Classes lists the priority classes.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Services lists what callers may ask for.
	Services []Service `yaml:"services" validate:"required,min=1,dive"`
	// Engines lists the model engines.
	Engines []Engine `yaml:"engines" validate:"dive"`
	// Applications lists the application back ends.
	Applications []Application `yaml:"applications" validate:"dive"`
	// Tenants lists the tenants.
	Tenants []Tenant `yaml:"tenants" validate:"required,min=1,dive"`
}

// Region is a named group of zones.
type Region struct {
	// Name is what the places of a tenant call the region.
	Name ident.Region `yaml:"name" validate:"required"`
	// Zones lists the zones of the region.
	Zones []ident.Zone `yaml:"zones" validate:"required,min=1"`
}

// Model is one language model.
type Model struct {
	// Name is the model's name.
	Name ident.Model `yaml:"name" validate:"required"`
	// Version is the one engines shall load and serve.
	Version ident.ModelVersion `yaml:"version" validate:"required"`
	// AcceptVersions lists older versions that may go on serving while
	// engines change over. Default: none.
	AcceptVersions []ident.ModelVersion `yaml:"acceptVersions"`
	// Adapters lists the adapters engines load beside the model. Default: none.
	Adapters []ident.Adapter `yaml:"adapters"`
	// BlockTokens is the size of a cache block in tokens. Default: 16.
	BlockTokens int `yaml:"blockTokens" validate:"gte=0,lte=1024"`
	// PrefillMicrosPerToken is the prefill slope assumed until an engine has
	// reported its own, in microseconds. Default: 100.
	PrefillMicrosPerToken float64 `yaml:"prefillMicrosPerToken" validate:"gte=0"`
}

// Class is a priority class.
type Class struct {
	// Name is given by callers in the X-Class header.
	Name ident.Class `yaml:"name" validate:"required"`
	// Priority orders classes; 0 is the most urgent.
	Priority int `yaml:"priority" validate:"gte=0,lte=15"`
	// MaxHold is the longest a request waits in a router before it is refused,
	// not run. Default: 2s.
	MaxHold time.Duration `yaml:"maxHold" validate:"gte=0"`
	// Deadline is the longest until the first token before the attempt counts
	// as late. Default: 30s.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
}

// ServiceKind tells model services from application services.
type ServiceKind string

const (
	// ServiceModel is served by engines.
	ServiceModel ServiceKind = "model"
	// ServiceApplication is served by applications.
	ServiceApplication ServiceKind = "application"
)

// Service is something callers may ask for.
type Service struct {
	// Name is given by callers as "model" or in the path.
	Name ident.Service `yaml:"name" validate:"required"`
	// Kind says what serves it: engines or applications.
	Kind ServiceKind `yaml:"kind" validate:"required,oneof=model application"`
	// Model is the model of a model service.
	Model ident.Model `yaml:"model"`
	// Adapter is the adapter of a model service. Default: none.
	Adapter ident.Adapter `yaml:"adapter"`
	// Classes lists the classes callers may ask for; the first is the default.
	Classes []ident.Class `yaml:"classes" validate:"required,min=1"`
	// Objective weighs what routing minimises for this service.
	Objective Objective `yaml:"objective"`
	// Routes lists the routes of an application service.
	Routes []Route `yaml:"routes" validate:"dive"`
}

// Objective weighs the terms of a routing decision. The cost of an engine is
// its predicted time to first token plus RecomputationWeight times the time
// spent recomputing tokens that another permitted engine already holds.
type Objective struct {
	// RecomputationWeight weighs wasted recomputation, in seconds of predicted
	// time to first token per second recomputed. Default: 0.
	RecomputationWeight float64 `yaml:"recomputationWeight" validate:"gte=0,lte=100"`
}

// Route is one method and path of an application service.
type Route struct {
	// Method is the HTTP method.
	Method string `yaml:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	// Path is matched exactly, below /v1/services/{service}; it starts with "/".
	Path string `yaml:"path" validate:"required,startswith=/"`
	// Retryable says that running a request twice does no harm. A route that
	// is not repeatable needs an Idempotency-Key. Default: false.
	Retryable bool `yaml:"repeatable"`
}

// BackendState says whether a back end may get new work.
type BackendState string

const (
	// BackendActive takes work. It is the default.
	BackendActive BackendState = "active"
	// BackendDraining finishes its work and gets no more.
	BackendDraining BackendState = "leaving"
)

// Engine is one model engine.
type Engine struct {
	// Name is the engine's name; it outlives restarts.
	Name ident.Engine `yaml:"name" validate:"required"`
	// Address is the HTTP address, as host:port with an IP number.
	Address string `yaml:"address" validate:"required"`
	// Zone is where the engine, and so its cache, is.
	Zone ident.Zone `yaml:"zone" validate:"required"`
	// Models lists the models the engine shall serve.
	Models []ident.Model `yaml:"models" validate:"required,min=1"`
	// Role is what the engine is for. Default: mixed.
	Role string `yaml:"role" validate:"omitempty,oneof=mixed prefill decode"`
	// State says whether it gets new work: a leaving one finishes what it has. Default: active.
	State BackendState `yaml:"state" validate:"omitempty,oneof=active leaving"`
}

// Application is one application back end.
type Application struct {
	// Name is the back end's name; it outlives restarts.
	Name ident.Application `yaml:"name" validate:"required"`
	// Address is the HTTP address, as host:port with an IP number.
	Address string `yaml:"address" validate:"required"`
	// Zone is where the back end is.
	Zone ident.Zone `yaml:"zone" validate:"required"`
	// Services lists the application services it serves.
	Services []ident.Service `yaml:"services" validate:"required,min=1"`
	// State says whether it gets new work: a leaving one finishes what it has. Default: active.
	State BackendState `yaml:"state" validate:"omitempty,oneof=active leaving"`
}

// Tenant is one customer.
type Tenant struct {
	// Name is the tenant's name.
	Name ident.Tenant `yaml:"name" validate:"required"`
	// KeyHashes lists the SHA-256 hashes, in hex, of the tenant's API keys.
	KeyHashes []string `yaml:"keyHashes" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Places lists the zones and regions the tenant's data may be in.
	Places []string `yaml:"places" validate:"required,min=1"`
	// Services lists the services the tenant may use.
	Services []ident.Service `yaml:"services" validate:"required,min=1"`
	// Share is the tenant's weight in fair queueing. Default: 1.
	Share float64 `yaml:"share" validate:"gte=0,lte=1000"`
	// MaxRequestsPerSecond limits the tenant at each router. Default: 0, no limit.
	MaxRequestsPerSecond float64 `yaml:"maxRequestsPerSecond" validate:"gte=0"`
}

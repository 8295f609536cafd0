// Package fleet implements the fleet file: its schema, its checks, the difference
// between two files, and how a file is applied and distributed.
//
// A fleet file is applied as a whole and is declarative: it states the desired
// state, which routers and the control component establish.
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
	// Name is the deployment's name, for display.
	Name string `yaml:"name" validate:"required"`
	// Regions lists the places where data may reside.
	Regions []Region `yaml:"regions" validate:"required,min=1,dive"`
	// Models lists the models and the versions that may serve.
	Models []Model `yaml:"models" validate:"dive"`
	// Classes lists the priority classes.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Services lists the services that callers may use.
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
	// Name is the region's name in the places of a tenant.
	Name ident.Region `yaml:"name" validate:"required"`
	// Zones lists the zones of the region.
	Zones []ident.Zone `yaml:"zones" validate:"required,min=1"`
}

// Model is one language model.
type Model struct {
	// Name is the model's name.
	Name ident.Model `yaml:"name" validate:"required"`
	// Version is the version that engines are to load and serve.
	Version ident.ModelVersion `yaml:"version" validate:"required"`
	// AcceptVersions lists older versions that may still serve during a rollout.
	// Default: none.
	AcceptVersions []ident.ModelVersion `yaml:"acceptVersions"`
	// Adapters lists the adapters that engines load with the model. Default: none.
	Adapters []ident.Adapter `yaml:"adapters"`
	// BlockTokens is the size of a cache block in tokens. Default: 16.
	BlockTokens int `yaml:"blockTokens" validate:"gte=0,lte=1024"`
	// PrefillMicrosPerToken is the prefill slope assumed until an engine has
	// reported its own, in microseconds. Default: 100.
	PrefillMicrosPerToken float64 `yaml:"prefillMicrosPerToken" validate:"gte=0"`
}

// Class is a priority class.
type Class struct {
	// Name is what callers send in the X-Class header.
	Name ident.Class `yaml:"name" validate:"required"`
	// Priority orders classes; 0 is the most urgent.
	Priority int `yaml:"priority" validate:"gte=0,lte=15"`
	// MaxHold is the longest time a request waits in a router before it is refused
	// without having run. Default: 2s.
	MaxHold time.Duration `yaml:"maxHold" validate:"gte=0"`
	// Deadline is the time to the first token after which an attempt counts as
	// late. Default: 30s.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
}

// ServiceKind is the kind of back end that serves a service.
type ServiceKind string

const (
	// ServiceModel is served by engines.
	ServiceModel ServiceKind = "model"
	// ServiceApplication is served by applications.
	ServiceApplication ServiceKind = "application"
)

// Service is one service that callers may use.
type Service struct {
	// Name is what callers send as "model" or in the path.
	Name ident.Service `yaml:"name" validate:"required"`
	// Kind is what serves it: engines or applications.
	Kind ServiceKind `yaml:"kind" validate:"required,oneof=model application"`
	// Model is the model of a model service.
	Model ident.Model `yaml:"model"`
	// Adapter is the adapter of a model service. Default: none.
	Adapter ident.Adapter `yaml:"adapter"`
	// Classes lists the classes callers may request; the first is the default.
	Classes []ident.Class `yaml:"classes" validate:"required,min=1"`
	// Objective weighs what routing minimises for this service.
	Objective Objective `yaml:"objective"`
	// Routes lists the routes of an application service.
	Routes []Route `yaml:"routes" validate:"dive"`
}

// Objective weighs the terms of a routing decision. The cost of an engine is its
// predicted time to first token plus RecomputationWeight times the time spent
// recomputing tokens that another permitted engine already holds.
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
	// Retryable is whether a request may safely run twice. Any other route needs an
	// Idempotency-Key. Default: false.
	Retryable bool `yaml:"repeatable"`
}

// BackendState is whether a back end gets new work.
type BackendState string

const (
	// BackendActive gets new work. It is the default.
	BackendActive BackendState = "active"
	// BackendDraining finishes its requests and gets no new ones.
	BackendDraining BackendState = "leaving"
)

// Engine is one model engine.
type Engine struct {
	// Name is the engine's name; it outlives restarts.
	Name ident.Engine `yaml:"name" validate:"required"`
	// Address is the HTTP address, as host:port with an IP address.
	Address string `yaml:"address" validate:"required"`
	// Zone is the zone of the engine, and so of its cache.
	Zone ident.Zone `yaml:"zone" validate:"required"`
	// Models lists the models that the engine is to serve.
	Models []ident.Model `yaml:"models" validate:"required,min=1"`
	// Role is the engine's phase of inference: prefill, decode or both. Default: mixed.
	Role string `yaml:"role" validate:"omitempty,oneof=mixed prefill decode"`
	// State is whether it gets new work: a leaving one finishes its requests. Default: active.
	State BackendState `yaml:"state" validate:"omitempty,oneof=active leaving"`
}

// Application is one application back end.
type Application struct {
	// Name is the back end's name; it outlives restarts.
	Name ident.Application `yaml:"name" validate:"required"`
	// Address is the HTTP address, as host:port with an IP address.
	Address string `yaml:"address" validate:"required"`
	// Zone is the zone of the back end.
	Zone ident.Zone `yaml:"zone" validate:"required"`
	// Services lists the application services it serves.
	Services []ident.Service `yaml:"services" validate:"required,min=1"`
	// State is whether it gets new work: a leaving one finishes its requests. Default: active.
	State BackendState `yaml:"state" validate:"omitempty,oneof=active leaving"`
}

// Tenant is one customer.
type Tenant struct {
	// Name is the tenant's name.
	Name ident.Tenant `yaml:"name" validate:"required"`
	// KeyHashes lists the SHA-256 hashes, in hex, of the tenant's API keys.
	KeyHashes []string `yaml:"keyHashes" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Places lists the zones and regions where the tenant's data may reside.
	Places []string `yaml:"places" validate:"required,min=1"`
	// Services lists the services the tenant may use.
	Services []ident.Service `yaml:"services" validate:"required,min=1"`
	// Share is the tenant's weight in fair queueing. Default: 1.
	Share float64 `yaml:"share" validate:"gte=0,lte=1000"`
	// MaxRequestsPerSecond limits the tenant at each router. Default: 0, no limit.
	MaxRequestsPerSecond float64 `yaml:"maxRequestsPerSecond" validate:"gte=0"`
}

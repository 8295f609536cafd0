// Package ident declares the identifier types that the other packages share, so that
// the compiler rejects a tenant in place of an engine. They are encoded as plain
// strings and integers (JSON, CBOR, YAML).
package ident

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// Tenant names one customer, as in the fleet file.
type Tenant string

// Service names a service that a caller may use: a model service (named in the
// "model" field of a chat or completions request) or an application service
// (named in the path /v1/services/{service}/...).
type Service string

// Class names a priority class of the fleet file, for example "gate-check".
type Class string

// Model names a language model, without its version.
type Model string

// ModelVersion names one immutable set of weights of a Model.
type ModelVersion string

// Release names one version of a back end's software, independent of the weights that
// an engine serves.
type Release string

// Adapter names a fine-tuned adapter of a model; empty means none.
type Adapter string

// Zone names the smallest place where data may reside.
type Zone string

// Region names a group of zones.
type Region string

// Engine names a model engine of the fleet file, across restarts.
type Engine string

// Application names one application back end of the fleet file.
type Application string

// Incarnation identifies one process lifetime of an engine or application. A process
// that restarts, with an empty cache, has a new one. Empty means "not known yet".
type Incarnation string

// Node names one fieldpond router process.
type Node string

// Request identifies one caller's request, assigned by the router that accepted it.
type Request string

// Stream identifies one generation on one engine incarnation.
type Stream string

// Attempt counts the attempts of one Request, starting at 1.
type Attempt uint32

// NewRequest returns a new, time-ordered, unguessable request identifier.
func NewRequest() Request { return Request(newULID()) }

// NewUniqueID returns a new identifier for claims, applies, orders and incarnations.
func NewUniqueID() string { return newULID() }

func newULID() string { return ulid.MustNew(ulid.Now(), rand.Reader).String() }

// Package ident declares the named identifier types that every other package
// shares, so that a tenant can never be passed where an engine is meant.
//
// The types hold no behaviour beyond formatting. They are plain strings and
// integers on every wire (JSON, CBOR, YAML).
package ident

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// Tenant names one customer of the fleet, as written in the fleet file.
type Tenant string

// Service names something a caller may ask for: a model service (named in the
// "model" field of a chat or completions request) or an application service
// (named in the path /v1/services/{service}/...).
type Service string

// Class names a priority class of the fleet file, for example "gate-check".
type Class string

// Model names a language model, without its version.
type Model string

// ModelVersion names one immutable set of weights of a Model.
type ModelVersion string

// Release names one version of a back end's software. It says nothing of the weights
// that an engine serves.
type Release string

// Adapter names a fine-tuned adapter loaded beside a model; empty means none.
type Adapter string

// Zone names the smallest place in which data may live.
type Zone string

// Region names a group of zones.
type Region string

// Engine names a model engine of the fleet file. The name outlives restarts.
type Engine string

// Application names one application back end of the fleet file.
type Application string

// Incarnation identifies one life of an engine or application process. A
// process that restarts, and so returns with an empty cache, has a new one.
// The empty value means "not known yet".
type Incarnation string

// Node names one fieldpond router process.
type Node string

// Request identifies one caller request, chosen by the router that accepted it.
type Request string

// Stream identifies one generation on one engine incarnation.
type Stream string

// Attempt counts the attempts of one Request, starting at 1.
type Attempt uint32

// NewRequest returns a fresh, time-ordered, unguessable request identifier.
func NewRequest() Request { return Request(newULID()) }

// NewUniqueID returns a fresh identifier for claims, applies, orders and lives.
func NewUniqueID() string { return newULID() }

func newULID() string { return ulid.MustNew(ulid.Now(), rand.Reader).String() }

package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Names in the fleet file of every cluster.
const (
	// Assistant is the model service.
	Assistant ident.Service = "assistant"
	// Bookings is the application service, with the routes BookPath and SlotsPath.
	Bookings ident.Service = "bookings"
	// BookPath is the path of the POST route that must run at most once.
	BookPath = "/book"
	// SlotsPath is the path of the retryable GET route.
	SlotsPath = "/slots"
	// Model is the only model.
	Model ident.Model = "model-1"
	// ModelVersion is the version that engines have loaded when they start.
	ModelVersion ident.ModelVersion = "v1"
	// Region holds both zones.
	Region ident.Region = "region"
	// ZoneA has every second back end and router, beginning with the first.
	ZoneA ident.Zone = "zone-a"
	// ZoneB has the others.
	ZoneB ident.Zone = "zone-b"
	// TenantA may use both services in the whole region.
	TenantA ident.Tenant = "tenant-a"
	// TenantB has the same permissions as TenantA.
	TenantB ident.Tenant = "tenant-b"
)

// Limits of the only class.
const (
	maxHold  = 5 * time.Second
	deadline = 20 * time.Second
)

// prefillMicros is the prefill time per token of the stand-in engines.
const prefillMicros = 100

const className ident.Class = "normal"

// APIKey returns the API key of a tenant.
func APIKey(tenant ident.Tenant) string { return "key-" + string(tenant) }

// newDocument returns the fleet file of a cluster; addresses come from the
// block, in the order of the file.
func newDocument(config Config, ports *portBlock) *fleet.Document {
	document := &fleet.Document{
		Schema:  fleet.SchemaVersion,
		Name:    "proofs",
		Regions: []fleet.Region{{Name: Region, Zones: []ident.Zone{ZoneA, ZoneB}}},
		Models: []fleet.Model{{
			Name: Model, Version: ModelVersion, BlockTokens: prefix.DefaultBlockTokens, PrefillMicrosPerToken: prefillMicros,
		}},
		Classes: []fleet.Class{{Name: className, MaxHold: maxHold, Deadline: deadline}},
		Services: []fleet.Service{
			{Name: Assistant, Kind: fleet.ServiceModel, Model: Model, Classes: []ident.Class{className}},
			{Name: Bookings, Kind: fleet.ServiceApplication, Classes: []ident.Class{className}, Routes: []fleet.Route{
				{Method: "POST", Path: BookPath}, {Method: "GET", Path: SlotsPath, Retryable: true},
			}},
		},
		Tenants: []fleet.Tenant{NewTenant(TenantA), NewTenant(TenantB)},
	}
	for index := range config.Engines {
		document.Engines = append(document.Engines, fleet.Engine{
			Name:    ident.Engine(fmt.Sprintf("engine-%d", index+1)),
			Address: addressOf(ports.allocate()), Zone: zoneOf(index), Models: []ident.Model{Model},
		})
	}
	for index := range config.Applications {
		document.Applications = append(document.Applications, fleet.Application{
			Name:    ident.Application(fmt.Sprintf("application-%d", index+1)),
			Address: addressOf(ports.allocate()), Zone: zoneOf(index), Services: []ident.Service{Bookings},
		})
	}
	return document
}

func zoneOf(index int) ident.Zone { return []ident.Zone{ZoneA, ZoneB}[index%2] }

// NewTenant returns a tenant with the API key APIKey(name), both services and
// the whole region.
func NewTenant(name ident.Tenant) fleet.Tenant {
	digest := sha256.Sum256([]byte(APIKey(name)))
	return fleet.Tenant{
		Name: name, KeyHashes: []string{hex.EncodeToString(digest[:])},
		Places: []string{string(Region)}, Services: []ident.Service{Assistant, Bookings}, Share: 1,
	}
}

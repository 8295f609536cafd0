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

// Names in the fleet file of every rehearsal.
const (
	// Assistant is the model service, Bookings the application service.
	Assistant ident.Service = "assistant"
	// Bookings has the routes Book, which is not repeatable, and Slots.
	Bookings ident.Service = "bookings"
	// BookPath is the path of the route POST that may run only once.
	BookPath = "/book"
	// SlotsPath is the path of the repeatable route GET.
	SlotsPath = "/slots"
	// Model is the one model, of the version ModelVersion.
	Model ident.Model = "model-1"
	// ModelVersion is the version that engines have loaded at the start.
	ModelVersion ident.ModelVersion = "v1"
	// Region holds both zones.
	Region ident.Region = "region"
	// ZoneA and ZoneB take back ends and routers in turn.
	ZoneA ident.Zone = "zone-a"
	// ZoneB is the other zone.
	ZoneB ident.Zone = "zone-b"
	// TenantA and TenantB may use both services in the whole region.
	TenantA ident.Tenant = "tenant-a"
	// TenantB is the other tenant.
	TenantB ident.Tenant = "tenant-b"
)

// Times of the only class.
const (
	maxHold  = 5 * time.Second
	deadline = 20 * time.Second
)

// prefillMicros is the prefill time of one token of the stand-in engines.
const prefillMicros = 100

// className is the only class.
const className ident.Class = "normal"

// APIKey returns the API key of a tenant.
func APIKey(tenant ident.Tenant) string { return "key-" + string(tenant) }

// newDocument returns the fleet file of a rehearsal; addresses come from the
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

// NewTenant returns a tenant with the key APIKey, both services and the whole
// region.
func NewTenant(name ident.Tenant) fleet.Tenant {
	digest := sha256.Sum256([]byte(APIKey(name)))
	return fleet.Tenant{
		Name: name, KeyHashes: []string{hex.EncodeToString(digest[:])},
		Places: []string{string(Region)}, Services: []ident.Service{Assistant, Bookings}, Share: 1,
	}
}

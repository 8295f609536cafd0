// Package router composes one router process: it builds the components from the
// settings, connects them, and runs them until the process is stopped.
package router

import (
	"github.com/fieldpond/fieldpond/internal/api"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// catalogs implements api.CatalogSource with the fleet file in force.
type catalogs struct {
	current func() *fleet.Compiled
}

// Current implements api.CatalogSource.
func (c catalogs) Current() (api.Catalog, bool) {
	compiled := c.current()
	if compiled == nil {
		return nil, false
	}
	return catalog{compiled}, true
}

// catalog implements api.Catalog with one fleet file.
type catalog struct {
	compiled *fleet.Compiled
}

// Authenticate implements api.Catalog.
func (c catalog) Authenticate(key string) (ident.Tenant, bool) {
	entry, known := c.compiled.TenantByKey(key)
	if !known {
		return "", false
	}
	return entry.Name, true
}

// Tenant implements api.Catalog.
func (c catalog) Tenant(name ident.Tenant) (fleet.Tenant, bool) {
	entry, known := c.compiled.Tenant(name)
	if !known {
		return fleet.Tenant{}, false
	}
	return *entry.Tenant, true
}

// Zones implements api.Catalog.
func (c catalog) Zones(name ident.Tenant) map[ident.Zone]bool {
	permitted := c.compiled.PermittedZones(name).List()
	zones := make(map[ident.Zone]bool, len(permitted))
	for _, zone := range permitted {
		zones[zone] = true
	}
	return zones
}

// Service implements api.Catalog.
func (c catalog) Service(name ident.Service) (fleet.Service, bool) {
	entry, known := c.compiled.Service(name)
	if !known {
		return fleet.Service{}, false
	}
	return *entry.Service, true
}

// Class implements api.Catalog.
func (c catalog) Class(name ident.Class) (fleet.Class, bool) {
	class, known := c.compiled.Class(name)
	if !known {
		return fleet.Class{}, false
	}
	return *class, true
}

// Versions implements api.Catalog.
func (c catalog) Versions(name ident.Model) []ident.ModelVersion {
	model, known := c.compiled.Model(name)
	if !known {
		return nil
	}
	return append([]ident.ModelVersion{model.Version}, model.AcceptVersions...)
}

// Engine implements api.Catalog.
func (c catalog) Engine(name ident.Engine) (fleet.Engine, bool) {
	engine, known := c.compiled.Engine(name)
	if !known {
		return fleet.Engine{}, false
	}
	return *engine, true
}

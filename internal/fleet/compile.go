package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Compiled is one fleet file with the indexes that routers use on every request. It
// is immutable and safe for concurrent use; nothing reached through it may be
// changed.
type Compiled struct {
	// Version and Digest identify the file.
	Version Version
	Digest  Digest
	// Document is the normalised file.
	Document *Document

	byKey        map[[sha256.Size]byte]*TenantEntry
	tenants      map[ident.Tenant]*TenantEntry
	services     map[ident.Service]*ServiceEntry
	engines      map[ident.Engine]*Engine
	applications map[ident.Application]*Application
	models       map[ident.Model]*Model
	classes      map[ident.Class]*Class
	engineList   []*Engine
}

// TenantEntry is one tenant with its places expanded to zones.
type TenantEntry struct {
	*Tenant
	// Zones are the zones where the tenant's data may reside.
	Zones *ZoneSet
}

// MayUse reports whether the tenant may use a service.
func (t *TenantEntry) MayUse(service ident.Service) bool {
	return slices.Contains(t.Services, service)
}

// ZoneSet is an immutable set of zones. Tenants with the same zones share one.
type ZoneSet struct {
	zones []ident.Zone
}

// Has reports whether the zone is in the set. A nil set is empty.
func (z *ZoneSet) Has(zone ident.Zone) bool {
	if z == nil {
		return false
	}
	_, found := slices.BinarySearch(z.zones, zone)
	return found
}

// List returns the zones in order.
func (z *ZoneSet) List() []ident.Zone {
	if z == nil {
		return nil
	}
	return slices.Clone(z.zones)
}

// RouteKey identifies a route of an application service.
type RouteKey struct {
	Method string
	Path   string
}

// ServiceEntry is one service with its back ends.
type ServiceEntry struct {
	*Service
	// Model is the model of a model service, else nil.
	Model *Model
	// Engines serve a model service, draining ones included.
	Engines []*Engine
	// Applications serve an application service, draining ones included.
	Applications []*Application
	// Classes are the classes callers may request; the first is the default.
	Classes []*Class

	routes map[RouteKey]*Route
}

// Route returns the route of a method and path, and whether there is one.
func (s *ServiceEntry) Route(method, path string) (Route, bool) {
	route, found := s.routes[RouteKey{Method: method, Path: path}]
	if !found {
		return Route{}, false
	}
	return *route, true
}

// Class returns the class with the given name, the default for an empty one, and
// false if the service does not offer it.
func (s *ServiceEntry) Class(name ident.Class) (*Class, bool) {
	for _, class := range s.Classes {
		if name == "" || class.Name == name {
			return class, true
		}
	}
	return nil, false
}

// Compile builds the indexes of a document that Parse has accepted.
func Compile(document *Document, version Version, digest Digest) *Compiled {
	compiled := &Compiled{
		Version: version, Digest: digest, Document: document,
		byKey:        make(map[[sha256.Size]byte]*TenantEntry, len(document.Tenants)),
		tenants:      make(map[ident.Tenant]*TenantEntry, len(document.Tenants)),
		services:     make(map[ident.Service]*ServiceEntry, len(document.Services)),
		engines:      make(map[ident.Engine]*Engine, len(document.Engines)),
		applications: make(map[ident.Application]*Application, len(document.Applications)),
		models:       make(map[ident.Model]*Model, len(document.Models)),
		classes:      make(map[ident.Class]*Class, len(document.Classes)),
	}
	for index := range document.Models {
		compiled.models[document.Models[index].Name] = &document.Models[index]
	}
	for index := range document.Classes {
		compiled.classes[document.Classes[index].Name] = &document.Classes[index]
	}
	for index := range document.Engines {
		engine := &document.Engines[index]
		compiled.engines[engine.Name] = engine
		compiled.engineList = append(compiled.engineList, engine)
	}
	for index := range document.Applications {
		compiled.applications[document.Applications[index].Name] = &document.Applications[index]
	}
	compiled.compileServices()
	compiled.compileTenants()
	return compiled
}

func (c *Compiled) compileServices() {
	for index := range c.Document.Services {
		service := &c.Document.Services[index]
		entry := &ServiceEntry{Service: service, routes: make(map[RouteKey]*Route, len(service.Routes))}
		if service.Kind == ServiceModel {
			entry.Model = c.models[service.Model]
		}
		for _, engine := range c.engineList {
			if service.Kind == ServiceModel && slices.Contains(engine.Models, service.Model) {
				entry.Engines = append(entry.Engines, engine)
			}
		}
		for position := range c.Document.Applications {
			application := &c.Document.Applications[position]
			if slices.Contains(application.Services, service.Name) {
				entry.Applications = append(entry.Applications, application)
			}
		}
		for _, class := range service.Classes {
			entry.Classes = append(entry.Classes, c.classes[class])
		}
		for position := range service.Routes {
			route := &service.Routes[position]
			entry.routes[RouteKey{Method: route.Method, Path: route.Path}] = route
		}
		c.services[service.Name] = entry
	}
}

func (c *Compiled) compileTenants() {
	zonesOf := map[string][]ident.Zone{}
	for _, region := range c.Document.Regions {
		zonesOf[string(region.Name)] = region.Zones
		for _, zone := range region.Zones {
			zonesOf[string(zone)] = []ident.Zone{zone}
		}
	}
	sets := map[string]*ZoneSet{}
	entries := make([]TenantEntry, len(c.Document.Tenants))
	for index := range c.Document.Tenants {
		tenant := &c.Document.Tenants[index]
		entry := &entries[index]
		*entry = TenantEntry{Tenant: tenant, Zones: zoneSetOf(tenant.Places, zonesOf, sets)}
		c.tenants[tenant.Name] = entry
		for _, hash := range tenant.KeyHashes {
			var key [sha256.Size]byte
			if _, err := hex.Decode(key[:], []byte(hash)); err == nil {
				c.byKey[key] = entry
			}
		}
	}
}

// zoneSetOf returns the zones of places, as one set for all equal lists.
func zoneSetOf(places []string, zonesOf map[string][]ident.Zone, sets map[string]*ZoneSet) *ZoneSet {
	name := strings.Join(places, "\x00")
	if shared, found := sets[name]; found {
		return shared
	}
	set := &ZoneSet{}
	for _, place := range places {
		set.zones = append(set.zones, zonesOf[place]...)
	}
	slices.Sort(set.zones)
	set.zones = slices.Compact(set.zones)
	sets[name] = set
	return set
}

// TenantByKey returns the tenant of an API key as sent by a caller.
func (c *Compiled) TenantByKey(bearer string) (*TenantEntry, bool) {
	entry, found := c.byKey[sha256.Sum256([]byte(bearer))]
	return entry, found
}

// Tenant returns a tenant by name.
func (c *Compiled) Tenant(name ident.Tenant) (*TenantEntry, bool) {
	entry, found := c.tenants[name]
	return entry, found
}

// PermittedZones returns the zones where a tenant's data may reside, the empty
// set for an unknown tenant.
func (c *Compiled) PermittedZones(name ident.Tenant) *ZoneSet {
	if entry, found := c.tenants[name]; found {
		return entry.Zones
	}
	return nil
}

// Service returns a service by name.
func (c *Compiled) Service(name ident.Service) (*ServiceEntry, bool) {
	entry, found := c.services[name]
	return entry, found
}

// Engines returns every engine, in the file's order. Do not change the list.
func (c *Compiled) Engines() []*Engine { return c.engineList }

// Engine returns an engine by name.
func (c *Compiled) Engine(name ident.Engine) (*Engine, bool) {
	engine, found := c.engines[name]
	return engine, found
}

// Application returns an application back end by name.
func (c *Compiled) Application(name ident.Application) (*Application, bool) {
	application, found := c.applications[name]
	return application, found
}

// Model returns a model by name.
func (c *Compiled) Model(name ident.Model) (*Model, bool) {
	model, found := c.models[name]
	return model, found
}

// Class returns a class by name.
func (c *Compiled) Class(name ident.Class) (*Class, bool) {
	class, found := c.classes[name]
	return class, found
}

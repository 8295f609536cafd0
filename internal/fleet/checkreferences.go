package fleet

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// documentNames indexes the definitions of a document.
type documentNames struct {
	regions  nameIndex[ident.Region]
	zones    nameIndex[ident.Zone]
	models   nameIndex[ident.Model]
	classes  nameIndex[ident.Class]
	services nameIndex[ident.Service]
}

// collectNames checks the names of all definitions and returns their index.
func collectNames(document *Document, at *locator) *documentNames {
	names := &documentNames{
		regions: nameIndex[ident.Region]{}, zones: nameIndex[ident.Zone]{}, models: nameIndex[ident.Model]{},
		classes: nameIndex[ident.Class]{}, services: nameIndex[ident.Service]{},
	}
	for index, region := range document.Regions {
		names.regions.add(at, region.Name, index, pathf("regions[%d].name", index))
		for position, zone := range region.Zones {
			names.zones.add(at, zone, index, pathf("regions[%d].zones[%d]", index, position))
		}
	}
	for index, region := range document.Regions {
		if _, taken := names.zones[ident.Zone(region.Name)]; taken {
			at.fail(fmt.Sprintf("regions[%d].name", index), fmt.Sprintf("%q is also a zone", region.Name), "give regions and zones different names, so that a tenant's places are unambiguous")
		}
	}
	for index, model := range document.Models {
		names.models.add(at, model.Name, index, pathf("models[%d].name", index))
	}
	for index, class := range document.Classes {
		names.classes.add(at, class.Name, index, pathf("classes[%d].name", index))
	}
	for index, service := range document.Services {
		names.services.add(at, service.Name, index, pathf("services[%d].name", index))
	}
	return names
}

func checkModels(document *Document, at *locator) {
	for index, model := range document.Models {
		path := fmt.Sprintf("models[%d]", index)
		nameIndex[ident.ModelVersion]{}.add(at, model.Version, 0, pathf("%s.version", path))
		adapters := nameIndex[ident.Adapter]{}
		for position, adapter := range model.Adapters {
			adapters.add(at, adapter, position, pathf("%s.adapters[%d]", path, position))
		}
		accepted := nameIndex[ident.ModelVersion]{}
		for position, version := range model.AcceptVersions {
			accepted.add(at, version, position, pathf("%s.acceptVersions[%d]", path, position))
			if version == model.Version {
				at.fail(fmt.Sprintf("%s.acceptVersions[%d]", path, position), "is the model's own version", "remove it; acceptVersions lists only older versions")
			}
		}
	}
}

func checkServices(document *Document, names *documentNames, at *locator) {
	for index := range document.Services {
		service := &document.Services[index]
		path := fmt.Sprintf("services[%d]", index)
		for position, class := range service.Classes {
			names.classes.require(at, class, "class", pathf("%s.classes[%d]", path, position))
		}
		checkDuplicates(at, service.Classes, path+".classes")
		switch service.Kind {
		case ServiceModel:
			checkModelService(document, service, path, names, at)
		case ServiceApplication:
			checkApplicationService(service, path, at)
		}
	}
}

func checkModelService(document *Document, service *Service, path string, names *documentNames, at *locator) {
	if len(service.Routes) > 0 {
		at.fail(path+".routes", "is given in a model service", "remove it, or change the kind to application")
	}
	if service.Model == "" {
		at.fail(path+".model", "is missing in a model service", "name one of the file's models")
		return
	}
	if !names.models.require(at, service.Model, "model", pathf("%s.model", path)) || service.Adapter == "" {
		return
	}
	model := document.Models[names.models[service.Model]]
	if !slices.Contains(model.Adapters, service.Adapter) {
		at.fail(path+".adapter", fmt.Sprintf("names the adapter %q, which model %q does not list", shorten(string(service.Adapter)), model.Name), "list it under the model's adapters or correct the name")
	}
}

func checkApplicationService(service *Service, path string, at *locator) {
	if len(service.Routes) == 0 {
		at.fail(path+".routes", "is missing in an application service", "list the method and path of each route")
	}
	if service.Model != "" {
		at.fail(path+".model", "is given in an application service", "remove it, or change the kind to model")
	}
	if service.Adapter != "" {
		at.fail(path+".adapter", "is given in an application service", "remove it, or change the kind to model")
	}
	seen := map[RouteKey]bool{}
	for position, route := range service.Routes {
		key := RouteKey{Method: route.Method, Path: route.Path}
		if seen[key] {
			at.fail(fmt.Sprintf("%s.routes[%d]", path, position), fmt.Sprintf("repeats %s %s", route.Method, shorten(route.Path)), "keep one of the two")
		}
		seen[key] = true
	}
}

func checkBackends(document *Document, names *documentNames, at *locator) {
	addresses := map[netip.AddrPort]string{}
	engines := nameIndex[ident.Engine]{}
	for index, engine := range document.Engines {
		path := fmt.Sprintf("engines[%d]", index)
		engines.add(at, engine.Name, index, pathf("%s.name", path))
		checkAddress(engine.Address, path, addresses, at)
		names.zones.require(at, engine.Zone, "zone", pathf("%s.zone", path))
		for position, model := range engine.Models {
			names.models.require(at, model, "model", pathf("%s.models[%d]", path, position))
		}
		checkDuplicates(at, engine.Models, path+".models")
	}
	applications := nameIndex[ident.Application]{}
	for index, application := range document.Applications {
		path := fmt.Sprintf("applications[%d]", index)
		applications.add(at, application.Name, index, pathf("%s.name", path))
		if _, taken := engines[ident.Engine(application.Name)]; taken {
			at.fail(path+".name", fmt.Sprintf("%q is also an engine", application.Name), "give each back end its own name")
		}
		checkAddress(application.Address, path, addresses, at)
		names.zones.require(at, application.Zone, "zone", pathf("%s.zone", path))
		for position, service := range application.Services {
			place := fmt.Sprintf("%s.services[%d]", path, position)
			if names.services.require(at, service, "service", pathf("%s", place)) && document.Services[names.services[service]].Kind != ServiceApplication {
				at.fail(place, fmt.Sprintf("names %q, which is not an application service", service), "list application services only; model services are served by engines")
			}
		}
		checkDuplicates(at, application.Services, path+".services")
	}
}

// checkAddress records a problem unless address is an IP address with a port, and
// no other back end has it.
func checkAddress(address, path string, taken map[netip.AddrPort]string, at *locator) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		at.fail(path+".address", fmt.Sprintf("%q is not an IP address with a port", shorten(address)), "write for example 10.0.3.17:7101 or [fd00::17]:7101")
		return
	}
	parsed = netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port())
	if other, found := taken[parsed]; found {
		at.fail(path+".address", fmt.Sprintf("%s is also the address of %s", parsed, other), "give each back end its own address")
		return
	}
	taken[parsed] = path
}

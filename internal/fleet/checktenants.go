package fleet

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/ident"
)

func checkTenants(document *Document, names *documentNames, at *locator) {
	tenants := make(nameIndex[ident.Tenant], len(document.Tenants))
	owners := make(map[string]int, len(document.Tenants))
	served := servicePlacesOf(document)
	for index := range document.Tenants {
		tenant := &document.Tenants[index]
		tenants.add(at, tenant.Name, index, func() string { return fmt.Sprintf("tenants[%d].name", index) })
		checkKeyHashes(document, index, owners, at)
		checkPlaces(tenant, index, names, at)
		for position, service := range tenant.Services {
			path := func() string { return fmt.Sprintf("tenants[%d].services[%d]", index, position) }
			if names.services.require(at, service, "service", path) && !served.serves(service, tenant.Places) {
				at.warn(path(), fmt.Sprintf("%q has no active back end in any place of tenant %q; its requests will be refused", service, shorten(string(tenant.Name))), "add a back end there, widen the places, or remove the service")
			}
		}
		if len(tenant.Services) > 1 {
			checkDuplicates(at, tenant.Services, fmt.Sprintf("tenants[%d].services", index))
		}
	}
}

func checkKeyHashes(document *Document, index int, owners map[string]int, at *locator) {
	for position, hash := range document.Tenants[index].KeyHashes {
		hash = strings.ToLower(hash)
		if _, err := hex.DecodeString(hash); err != nil {
			at.fail(fmt.Sprintf("tenants[%d].keyHashes[%d]", index, position), notAHash, hashRemedy)
			continue
		}
		if owner, taken := owners[hash]; taken {
			at.fail(fmt.Sprintf("tenants[%d].keyHashes[%d]", index, position),
				fmt.Sprintf("is also a key of tenant %q", shorten(string(document.Tenants[owner].Name))),
				"give each tenant its own key, so that its requests can be attributed")
			continue
		}
		owners[hash] = index
	}
}

func checkPlaces(tenant *Tenant, index int, names *documentNames, at *locator) {
	for position, place := range tenant.Places {
		_, isZone := names.zones[ident.Zone(place)]
		_, isRegion := names.regions[ident.Region(place)]
		if !isZone && !isRegion {
			at.fail(fmt.Sprintf("tenants[%d].places[%d]", index, position),
				fmt.Sprintf("names the place %q, which is neither a zone nor a region of the file", shorten(place)),
				"define it under regions or correct the name")
		}
	}
}

// servicePlaces holds the places in which each service has an active back end.
type servicePlaces map[ident.Service]map[string]bool

func (s servicePlaces) serves(service ident.Service, places []string) bool {
	return slices.ContainsFunc(places, func(place string) bool { return s[service][place] })
}

func servicePlacesOf(document *Document) servicePlaces {
	regionOf := map[ident.Zone]ident.Region{}
	for _, region := range document.Regions {
		for _, zone := range region.Zones {
			regionOf[zone] = region.Name
		}
	}
	places := servicePlaces{}
	add := func(service ident.Service, zone ident.Zone) {
		if places[service] == nil {
			places[service] = map[string]bool{}
		}
		places[service][string(zone)] = true
		places[service][string(regionOf[zone])] = true
	}
	for _, service := range document.Services {
		for _, engine := range document.Engines {
			if service.Kind == ServiceModel && engine.State != BackendDraining && slices.Contains(engine.Models, service.Model) {
				add(service.Name, engine.Zone)
			}
		}
	}
	for _, application := range document.Applications {
		for _, service := range application.Services {
			if application.State != BackendDraining {
				add(service, application.Zone)
			}
		}
	}
	return places
}

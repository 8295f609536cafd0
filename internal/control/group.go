package control

import (
	"slices"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Group is a set of engines that get orders under one lease. Services that share engines are in one
// group, since an engine checks only one fence.
type Group struct {
	// Name is that of the group's first service, or of its first model if it has no service.
	Name    string
	Engines []*fleet.Engine
}

// LeaseName returns the name of the group's lease, which is also its rendezvous key.
func (g Group) LeaseName() string { return "control/" + g.Name }

// GroupsOf splits a fleet file's engines into groups that share no model.
func GroupsOf(compiled *fleet.Compiled) []Group {
	root := map[ident.Model]ident.Model{}
	var find func(model ident.Model) ident.Model
	find = func(model ident.Model) ident.Model {
		if parent, known := root[model]; known && parent != model {
			root[model] = find(parent)
			return root[model]
		}
		return model
	}
	for _, engine := range compiled.Engines() {
		for _, model := range engine.Models {
			root[find(model)] = find(engine.Models[0])
		}
	}
	names := map[ident.Model]string{}
	for _, service := range compiled.Document.Services {
		if service.Kind != fleet.ServiceModel {
			continue
		}
		if _, named := names[find(service.Model)]; !named {
			names[find(service.Model)] = string(service.Name)
		}
	}
	var groups []Group
	position := map[ident.Model]int{}
	for _, engine := range compiled.Engines() {
		model := find(engine.Models[0])
		if _, known := position[model]; !known {
			name, named := names[model]
			if !named {
				name = string(engine.Models[0])
			}
			position[model] = len(groups)
			groups = append(groups, Group{Name: name})
		}
		group := &groups[position[model]]
		group.Engines = append(group.Engines, engine)
	}
	return groups
}

// need is a set of zones in which some tenant needs a model with an adapter.
type need struct {
	zones   *fleet.ZoneSet
	adapter ident.Adapter
}

// needsOf returns the distinct needs of tenants for each model.
func needsOf(compiled *fleet.Compiled) map[ident.Model][]need {
	needs := map[ident.Model][]need{}
	for index := range compiled.Document.Tenants {
		tenant, _ := compiled.Tenant(compiled.Document.Tenants[index].Name)
		for _, name := range tenant.Services {
			service, known := compiled.Service(name)
			if !known || service.Model == nil {
				continue
			}
			wanted := need{zones: tenant.Zones, adapter: service.Adapter}
			if !slices.Contains(needs[service.Model.Name], wanted) {
				needs[service.Model.Name] = append(needs[service.Model.Name], wanted)
			}
		}
	}
	return needs
}

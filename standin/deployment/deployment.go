// Package deployment plans the processes of a rehearsal of a fleet file on one
// machine: the platform, every engine and application of the file, and the
// routers, each with its arguments and files. It does not start them.
package deployment

import (
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Options configures what the fleet file does not contain.
type Options struct {
	// Directory is the directory of the plan's files.
	Directory string
	// Routers is the number of routers, assigned to the zones round robin.
	Routers int
	// Host is the loopback address that all processes listen on.
	Host string
	// FirstPort is the platform's port. Each router uses the next two: HTTP
	// (TCP) and gossip (UDP).
	FirstPort int
	// Seed seeds the stand-ins.
	Seed uint64
	// CacheBlocks is the capacity of each engine's block cache; zero means the
	// stand-in's default.
	CacheBlocks int
	// ClusterKey is the routers' shared key.
	ClusterKey string
}

// Program is the name of an executable.
type Program string

const (
	// ProgramRouter is the fieldpond program.
	ProgramRouter Program = "fieldpond"
	// ProgramStandIn is the rehearse program.
	ProgramStandIn Program = "rehearse"
)

// Process is one process to start.
type Process struct {
	Name    string
	Program Program
	Args    []string
	// Address is host:port of its HTTP listener.
	Address string
}

// File is one file that the processes read.
type File struct {
	Path string
	Data []byte
}

// Plan lists the processes of a rehearsal in starting order, and their files.
type Plan struct {
	Platform     Process
	Engines      []Process
	Applications []Process
	Routers      []Process
	Files        []File
}

// All returns all processes in starting order.
func (p *Plan) All() []Process {
	all := []Process{p.Platform}
	all = append(all, p.Engines...)
	all = append(all, p.Applications...)
	return append(all, p.Routers...)
}

// portsPerRouter is the number of ports of a router: HTTP and gossip.
const portsPerRouter = 2

// New returns the plan for a fleet file, or an error if an option is out of
// range.
func New(document *fleet.Document, options Options) (*Plan, error) {
	host, err := netip.ParseAddr(options.Host)
	if err != nil || !host.IsLoopback() {
		return nil, fault.New(fault.InvalidSettings, "host %q is not a loopback address", options.Host).
			WithRemedy("use 127.0.0.1; stand-ins must not be reachable from other machines")
	}
	if options.Routers < 1 || len(document.Regions) == 0 {
		return nil, fault.New(fault.InvalidSettings, "a rehearsal needs at least one router and one region")
	}
	planner := &planner{document: document, options: options, plan: &Plan{}}
	planner.platform()
	planner.engines()
	planner.applications()
	planner.routers()
	planner.machines()
	return planner.plan, nil
}

// planner builds one plan.
type planner struct {
	document    *fleet.Document
	options     Options
	plan        *Plan
	machineList []protocol.Machine
}

func (p *planner) address(offset int) string {
	return fmt.Sprintf("%s:%d", p.options.Host, p.options.FirstPort+offset)
}

func (p *planner) path(name string) string { return p.options.Directory + "/" + name }

func (p *planner) seed() string { return fmt.Sprint(p.options.Seed) }

const machinesFile = "machines.yaml"

func (p *planner) platform() {
	p.plan.Platform = Process{
		Name: "platform", Program: ProgramStandIn, Address: p.address(0),
		Args: []string{"platform", "--listen", p.address(0), "--machines", p.path(machinesFile), "--seed", p.seed()},
	}
}

func (p *planner) engines() {
	versions := make(map[ident.Model]string)
	for _, model := range p.document.Models {
		spec := string(model.Name) + ":" + string(model.Version)
		for index, adapter := range model.Adapters {
			spec += separator(index) + string(adapter)
		}
		versions[model.Name] = spec
	}
	for _, engine := range p.document.Engines {
		args := []string{
			"engine", "--listen", engine.Address, "--name", string(engine.Name), "--zone", string(engine.Zone),
			"--seed", p.seed(), "--weights", "http://" + p.address(0),
		}
		if p.options.CacheBlocks > 0 {
			args = append(args, "--cache-blocks", fmt.Sprint(p.options.CacheBlocks))
		}
		for _, model := range engine.Models {
			args = append(args, "--model", versions[model])
		}
		p.plan.Engines = append(p.plan.Engines, Process{string(engine.Name), ProgramStandIn, args, engine.Address})
		p.machineList = append(p.machineList, protocol.Machine{
			Name: string(engine.Name), Kind: protocol.MachineEngine, Zone: engine.Zone,
			State: protocol.MachineLive, Address: engine.Address,
		})
	}
}

// separator returns the separator before an adapter in
// "name:version:adapter,adapter".
func separator(index int) string {
	if index == 0 {
		return ":"
	}
	return ","
}

func (p *planner) applications() {
	for _, application := range p.document.Applications {
		args := []string{"application", "--listen", application.Address, "--seed", p.seed()}
		p.plan.Applications = append(p.plan.Applications,
			Process{string(application.Name), ProgramStandIn, args, application.Address})
		p.machineList = append(p.machineList, protocol.Machine{
			Name: string(application.Name), Kind: protocol.MachineApplication, Zone: application.Zone,
			State: protocol.MachineLive, Address: application.Address,
		})
	}
}

const clusterKeyFile = "cluster.key"

func (p *planner) routers() {
	var zones []ident.Zone
	for _, region := range p.document.Regions {
		zones = append(zones, region.Zones...)
	}
	p.plan.Files = append(p.plan.Files, File{p.path(clusterKeyFile), []byte(p.options.ClusterKey)})
	for index := range p.options.Routers {
		zone := zones[index%len(zones)]
		name := fmt.Sprintf("router-%s-%d", zone, index/len(zones)+1)
		address := p.address(1 + portsPerRouter*index)
		gossip := p.address(2 + portsPerRouter*index)
		settings := p.path(name + ".yaml")
		p.plan.Files = append(p.plan.Files, File{settings, p.routerSettings(name, zone, address, gossip)})
		p.plan.Routers = append(p.plan.Routers,
			Process{name, ProgramRouter, []string{"router", "--settings", settings}, address})
		p.machineList = append(p.machineList, protocol.Machine{
			Name: name, Kind: protocol.MachineRouter, Zone: zone,
			State: protocol.MachineLive, Address: address, GossipAddress: gossip,
		})
	}
}

// routerSettings returns the settings file of one router.
func (p *planner) routerSettings(name string, zone ident.Zone, address, gossip string) []byte {
	lines := []string{
		"node: " + name,
		"zone: " + string(zone),
		"listen: " + address,
		"gossipListen: " + gossip,
		"platform: http://" + p.address(0),
		"clusterKey:",
		"  file: " + p.path(clusterKeyFile),
		"",
	}
	return []byte(strings.Join(lines, "\n"))
}

// machines adds the file with the platform's initial machine list.
func (p *planner) machines() {
	type row struct {
		Name          string `yaml:"name"`
		Kind          string `yaml:"kind"`
		Zone          string `yaml:"zone"`
		State         string `yaml:"state"`
		Address       string `yaml:"address"`
		GossipAddress string `yaml:"gossip_address,omitempty"`
	}
	rows := make([]row, 0, len(p.machineList))
	for _, machine := range p.machineList {
		rows = append(rows, row{
			machine.Name, string(machine.Kind), string(machine.Zone),
			string(machine.State), machine.Address, machine.GossipAddress,
		})
	}
	data, err := yaml.Marshal(struct {
		Machines []row `yaml:"machines"`
	}{rows})
	if err != nil {
		panic("encoding the machine list: " + err.Error()) // a struct of strings always encodes
	}
	p.plan.Files = append(p.plan.Files, File{p.path(machinesFile), data})
}

package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/status"
	"github.com/fieldpond/fieldpond/standin/deployment"
)

// Limits of waits; no test depends on how soon a condition holds.
const (
	// WaitLimit bounds every wait for a condition.
	WaitLimit = 30 * time.Second
	waitPause = 10 * time.Millisecond
	// probeTimeout bounds one HTTP exchange with a process.
	probeTimeout = 2 * time.Second
)

// clusterKey is shared by the routers of a cluster.
const clusterKey = "proofs-only-cluster-key-0123456789abcdef"

// Config describes the cluster to start. Zero numbers take the defaults.
type Config struct {
	// Routers, Engines and Applications are numbers of processes. Defaults: 2,
	// 3 and 2.
	Routers, Engines, Applications int
	// Relayed puts a Relay in front of every back end.
	Relayed bool
	// RouterSettings is YAML added to every router's settings file.
	RouterSettings string
	// EngineArgs, ApplicationArgs and PlatformArgs are extra flags.
	EngineArgs, ApplicationArgs, PlatformArgs []string
	// Edit changes the fleet file before anything starts.
	Edit func(document *fleet.Document)
}

func (s Config) withDefaults() Config {
	for number, fallback := range map[*int]int{&s.Routers: 2, &s.Engines: 3, &s.Applications: 2} {
		if *number == 0 {
			*number = fallback
		}
	}
	return s
}

// Cluster is a set of real processes that a test runs.
type Cluster struct {
	// Document is the first fleet file. Its back end addresses are those of the
	// relays, if there are any.
	Document *fleet.Document
	// Routers, Engines and Applications are the names of the processes.
	Routers, Engines, Applications []string

	tb        testing.TB
	directory string
	processes map[string]*process
	relays    map[string]*Relay
}

// Platform is the name of the platform's process.
const Platform = "platform"

// Start starts a cluster and applies its fleet file on every router. All
// processes end with the test.
func Start(tb testing.TB, config Config) *Cluster {
	tb.Helper()
	c := Prepare(tb, config)
	names := append([]string{Platform}, c.Engines...)
	names = append(append(names, c.Applications...), c.Routers...)
	for _, name := range names {
		c.Launch(name)
	}
	for _, name := range names {
		c.AwaitUp(name)
	}
	if output, err := c.Apply(c.Document); err != nil {
		tb.Fatalf("applying the first fleet file: %v\n%s", err, output)
	}
	c.AwaitServing(c.Routers...)
	return c
}

// Prepare plans a cluster and writes its files, without starting any process.
func Prepare(tb testing.TB, config Config) *Cluster {
	tb.Helper()
	config = config.withDefaults()
	ports := reservePorts(tb)
	c := &Cluster{
		tb: tb, directory: tb.TempDir(), processes: map[string]*process{}, relays: map[string]*Relay{},
		Document: newDocument(config, ports),
	}
	tb.Cleanup(c.stop)
	if config.Edit != nil {
		config.Edit(c.Document)
	}
	plan, err := deployment.New(c.Document, deployment.Options{
		Directory: c.directory, Routers: config.Routers, Host: host, FirstPort: ports.next, Seed: 1, ClusterKey: clusterKey,
	})
	if err != nil {
		tb.Fatalf("planning the cluster: %v", err)
	}
	for range 1 + 2*config.Routers {
		ports.allocate()
	}
	c.writeFiles(plan, config)
	c.addProcesses(plan, config)
	if config.Relayed {
		c.addRelays(ports)
	}
	return c
}

func (c *Cluster) writeFiles(plan *deployment.Plan, config Config) {
	settings := map[string]bool{}
	for _, router := range plan.Routers {
		settings[filepath.Join(c.directory, router.Name+".yaml")] = true
	}
	for _, file := range plan.Files {
		data := file.Data
		if settings[file.Path] {
			data = append(data, config.RouterSettings...)
		}
		if err := os.WriteFile(file.Path, data, 0o600); err != nil {
			c.tb.Fatalf("writing the files of the cluster: %v", err)
		}
	}
}

func (c *Cluster) addProcesses(plan *deployment.Plan, config Config) {
	c.add(plan.Platform, config.PlatformArgs)
	for _, engine := range plan.Engines {
		c.Engines = append(c.Engines, engine.Name)
		c.add(engine, append([]string{"--truth", c.truthFile(engine.Name)}, config.EngineArgs...))
	}
	for _, application := range plan.Applications {
		c.Applications = append(c.Applications, application.Name)
		c.add(application, append([]string{"--truth", c.truthFile(application.Name)}, config.ApplicationArgs...))
	}
	for _, router := range plan.Routers {
		c.Routers = append(c.Routers, router.Name)
		c.add(router, nil)
	}
}

func (c *Cluster) add(planned deployment.Process, extraArgs []string) {
	planned.Args = append(planned.Args, extraArgs...)
	c.processes[planned.Name] = &process{Process: planned, log: filepath.Join(c.directory, planned.Name+".log")}
}

func (c *Cluster) truthFile(backend string) string {
	return filepath.Join(c.directory, backend+".truth")
}

// addRelays puts a relay in front of every back end and its address into the
// fleet file.
func (c *Cluster) addRelays(ports *portBlock) {
	for index := range c.Document.Engines {
		engine := &c.Document.Engines[index]
		engine.Address = c.addRelay(string(engine.Name), engine.Address, ports)
	}
	for index := range c.Document.Applications {
		application := &c.Document.Applications[index]
		application.Address = c.addRelay(string(application.Name), application.Address, ports)
	}
}

func (c *Cluster) addRelay(name, target string, ports *portBlock) string {
	relay := newRelay(c.tb, addressOf(ports.allocate()), target)
	c.relays[name] = relay
	return relay.address
}

// stop kills the processes and, if the test failed, prints the ends of their logs.
func (c *Cluster) stop() {
	for _, process := range c.processes {
		process.kill()
	}
	if !c.tb.Failed() {
		return
	}
	for name, process := range c.processes {
		c.tb.Logf("end of the log of %s:\n%s", name, process.tail())
	}
}

func (c *Cluster) process(name string) *process {
	c.tb.Helper()
	found, known := c.processes[name]
	if !known {
		c.tb.Fatalf("there is no process %q", name)
	}
	return found
}

// Launch starts a process and does not wait until it serves.
func (c *Cluster) Launch(name string) { c.process(name).start(c.tb) }

// Kill ends a process with SIGKILL.
func (c *Cluster) Kill(name string) { c.process(name).kill() }

// Restart starts an ended process at its old address and waits until it serves
// HTTP.
func (c *Cluster) Restart(name string) {
	c.Launch(name)
	c.AwaitUp(name)
}

// Terminate sends SIGTERM, waits for the exit and returns the exit code.
func (c *Cluster) Terminate(name string) int {
	c.tb.Helper()
	c.Signal(name, syscall.SIGTERM)
	return c.AwaitExit(name)
}

// Signal sends a signal to a process.
func (c *Cluster) Signal(name string, signal syscall.Signal) { c.process(name).signal(signal) }

// AwaitExit waits until a process exits and returns its exit code.
func (c *Cluster) AwaitExit(name string) int {
	c.tb.Helper()
	code, exited := c.process(name).wait(WaitLimit)
	if !exited {
		c.tb.Fatalf("%s has not exited", name)
	}
	return code
}

// Freeze stops a process with SIGSTOP; its connections stay open.
func (c *Cluster) Freeze(name string) { c.Signal(name, syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (c *Cluster) Resume(name string) { c.Signal(name, syscall.SIGCONT) }

// URL returns the base URL of a process's HTTP listener.
func (c *Cluster) URL(name string) string { return "http://" + c.process(name).Address }

// RouterURLs returns the base URLs of all routers, in order.
func (c *Cluster) RouterURLs() []string {
	urls := make([]string, 0, len(c.Routers))
	for _, router := range c.Routers {
		urls = append(urls, c.URL(router))
	}
	return urls
}

// Relay returns the relay in front of a back end.
func (c *Cluster) Relay(name string) *Relay {
	c.tb.Helper()
	relay, known := c.relays[name]
	if !known {
		c.tb.Fatalf("there is no relay in front of %q; set Config.Relayed", name)
	}
	return relay
}

// Apply runs the apply command, waits until the live routers have adopted the
// fleet file, and returns the command's output.
func (c *Cluster) Apply(document *fleet.Document) (string, error) {
	return c.RunApply(document, "--wait", "--routers", strings.Join(c.routerAddresses(), ","))
}

// RunApply runs the apply command with extra flags and returns its output.
func (c *Cluster) RunApply(document *fleet.Document, flags ...string) (string, error) {
	encoded, err := yaml.Marshal(document)
	if err != nil {
		return "", fmt.Errorf("encoding the fleet file: %w", err)
	}
	file, err := os.CreateTemp(c.directory, "fleet-*.yaml")
	if err != nil {
		return "", fmt.Errorf("creating the fleet file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(encoded); err != nil {
		return "", fmt.Errorf("writing the fleet file: %w", err)
	}
	arguments := append([]string{"apply", "-f", file.Name(), "--platform", c.URL(Platform)}, flags...)
	output, err := exec.Command(programPath(deployment.ProgramRouter), arguments...).CombinedOutput()
	return string(output), err
}

func (c *Cluster) routerAddresses() []string {
	addresses := make([]string, 0, len(c.Routers))
	for _, router := range c.Routers {
		addresses = append(addresses, c.process(router).Address)
	}
	return addresses
}

// Await waits until a condition holds and fails the test after WaitLimit.
func (c *Cluster) Await(what string, condition func() bool) {
	c.tb.Helper()
	limit := time.Now().Add(WaitLimit)
	for !condition() {
		if time.Now().After(limit) {
			c.tb.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(waitPause)
	}
}

// AwaitUp waits until a process serves HTTP.
func (c *Cluster) AwaitUp(name string) {
	c.tb.Helper()
	path := "/v1/load"
	switch process := c.process(name); {
	case process.Program == deployment.ProgramRouter:
		path = "/healthz"
	case name == Platform:
		path = "/machines/v1/list"
	}
	c.Await(name+" serves HTTP", func() bool { return c.probe(name, path, nil) })
}

// AwaitServing waits until routers have adopted a fleet file and consider all
// its engines that are not draining alive.
func (c *Cluster) AwaitServing(routers ...string) {
	c.tb.Helper()
	for _, router := range routers {
		c.Await(router+" reports every engine alive or draining", func() bool {
			var state status.Router
			return c.probe(router, "/readyz", nil) && c.probe(router, "/status.json", &state) && allAlive(state.Engines)
		})
	}
}

func allAlive(engines []status.Engine) bool {
	for _, engine := range engines {
		if !engine.Alive && !engine.Draining {
			return false
		}
	}
	return len(engines) > 0
}

// probe requests a path of a process, decodes its JSON if into is set, and
// reports whether both succeeded.
func (c *Cluster) probe(name, path string, into any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL(name)+path, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return into == nil || json.NewDecoder(response.Body).Decode(into) == nil
}

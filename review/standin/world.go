package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// host is the Host of all routes, model the model of the engines.
	host  = "rig.example"
	model = "m0"
)

// world is one small deployment: the store, the servers and the routers.
type world struct {
	dir     string
	record  *os.File
	store   *store
	version int

	mu      sync.Mutex
	runs    []run
	routers []*router
	engines []*engine
	// relayed is whether a relay stands before each engine; relays are these.
	relayed bool
	relays  []*relay
	// begun is when the requests of a case begin.
	begun time.Time
}

// newWorld starts a store; its record is written to a file.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: file}
	w.store, err = newStore()
	return w, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
}

// ran records that a server began to work on a request.
func (w *world) ran(begun run) {
	w.note("run id=%s engine=%s tenant=%s salt=%s path=%s", begun.id, begun.engine, begun.tenant, begun.salt, begun.path)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, begun)
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) (runs []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, begun := range w.runs {
		if begun.id == id {
			runs = append(runs, begun)
		}
	}
	return runs
}

// limits are those of requests in the configuration.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// configure writes the next configuration. keys has the keys of each tenant.
func (w *world) configure(keys map[string][]string) {
	w.version++
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 6000, "targetLatencyMs": 800,
			"gapTargetMs": 500, "priority": 1, "service": service, "maxAttempts": attempts, "resumable": name == "resumable",
		}
	}
	tenants := []map[string]any{}
	for name, held := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": held, "priority": 0, "isolated": strings.HasPrefix(name, "isolated")})
	}
	w.store.put("op", "config", map[string]any{
		"version": w.version, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{
			route("safe", "safe", "app", 2), route("unsafe", "unsafe", "app", 1), route("resumable", "streaming", "llm", 2), route("stream", "streaming", "llm", 1),
		},
		"services": []map[string]any{
			{"name": "app", "maxConns": 100, "healthPath": "/health"},
			{"name": "llm", "maxConns": 360, "healthPath": "/health", "engine": map[string]any{"slots": 64, "kvCapacity": 110556}},
		},
	})
}

// setUp starts a deployment of some routers.
func (w *world) setUp(routers, memoryMb int) error {
	w.configure(map[string][]string{"plain": {"key-a"}, "isolated": {"key-b"}})
	w.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	for number := range 3 {
		if _, err := newEngine(w, fmt.Sprintf("i-app%d", number), "app", ""); err != nil {
			return err
		}
		if _, err := newEngine(w, fmt.Sprintf("i-llm%d", number), "llm", model); err != nil {
			return err
		}
	}
	for range routers {
		if _, err := w.newRouter(memoryMb); err != nil {
			return err
		}
	}
	for _, r := range w.routers {
		if err := r.awaitReady(5 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// router is one process of the system over all its starts.
type router struct {
	world              *world
	name, front, ready string
	settings, log      string
	metricsPort        int
	memoryMb           int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(ip string) (string, int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port, nil
}

const settingsText = `node = %q
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "east"
region = "land"
portRange = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
east = "land"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoveryS = 12
transitMs = 120
retryAfterS = 10
enforceFencing = true
leaseMs = 3000
thawSlackMs = 300
versionMs = 8000
versionAllMs = 11000
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
historyS = 20
`

// newRouter starts the next router, each on a loopback address of its own.
func (w *world) newRouter(memoryMb int) (*router, error) {
	index := len(w.routers) + 1
	ip := fmt.Sprintf("127.0.0.%d", 10+index)
	r := &router{world: w, name: fmt.Sprintf("edge-east-%d", index), memoryMb: memoryMb}
	var ports [4]int
	var err error
	for i := range ports {
		var address string
		if address, ports[i], err = freeAddress(ip); err != nil {
			return nil, err
		}
		switch i {
		case 0:
			r.front = address
		case 1:
			r.ready = address
		}
	}
	r.metricsPort = ports[3]
	r.settings, r.log = filepath.Join(w.dir, r.name+".toml"), filepath.Join(w.dir, r.name+".log")
	text := fmt.Sprintf(settingsText, r.name, ip, ports[2], ports[2], r.front, r.ready, memoryMb, w.store.address)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.routers = append(w.routers, r)
	return r, r.start()
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.command = exec.Command("target/fieldpond", "edge", "--metrics-port", fmt.Sprint(r.metricsPort), "--metrics-path", "/metrics")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.world.dir, "FIELDPOND_CONFIG=" + r.settings}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.ended = ended
	command := r.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.note("signal %v to %s", signal, r.name)
	_ = r.command.Process.Signal(signal)
}

// isRunning reports whether the process has not ended.
func (r *router) isRunning() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// setCut cuts a router off from all engines, or ends that.
func (w *world) setCut(r *router) {
	for _, y := range w.relays {
		y.setCut(r)
	}
}

// close ends all routers.
func (w *world) close() {
	for _, r := range w.routers {
		if r.isRunning() {
			_ = r.command.Process.Kill()
			<-r.ended
		}
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

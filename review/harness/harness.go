// Package harness has what the cases of the review share: a stand-in of the platform's store, routers as
// processes, and the record of a run. Everything listens on loopback addresses that are new for each run.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// ports are those of a machine, the same on all of them.
type ports struct{ front, ready, peers int }

// routerBinary is what the build line of the deploy file makes.
const routerBinary = "target/fieldpond"

// Deployment is one run of a case: addresses, a folder, the store, the routers and the record.
type Deployment struct {
	Store *Store

	network   string
	ports     ports
	directory string
	storeAddr string
	started   time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*Router
}

// NewDeployment starts the store; recordPath is the file for the record.
func NewDeployment(recordPath string) (*Deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Store: NewStore(), directory: directory, record: record, started: time.Now(),
		network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	for _, port := range []*int{&d.ports.front, &d.ports.ready, &d.ports.peers} {
		if *port, err = freePort(d.Address(1)); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp4", d.Address(250)+":0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = listener.Addr().String()
	server := &http.Server{Handler: d.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// Address returns the address of one of the deployment's machines.
func (d *Deployment) Address(machine int) string { return fmt.Sprintf("%s.%d", d.network, machine) }

// Record writes a line to the record, with the time since the start.
func (d *Deployment) Record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// Main runs a case: its exit code is that of the process. recordPath is the first argument.
func Main(run func(*Deployment) int) {
	deployment, err := NewDeployment(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() { ended <- run(deployment) }()
	code := CannotRun
	select {
	case code = <-ended:
	case <-interrupted:
		deployment.Record("cannot run: interrupted")
	case <-time.After(longestRun):
		deployment.Record("cannot run: it took too long")
	}
	deployment.Close()
	os.Exit(code)
}

// Close ends all processes and removes the folder.
func (d *Deployment) Close() {
	for _, router := range d.routers {
		router.Kill()
	}
	_ = d.record.Close()
	_ = os.RemoveAll(d.directory)
}

// Router is one machine with a router.
type Router struct {
	Name, Front string

	deployment *Deployment
	ready      string
	settings   string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewRouter starts a router on a machine of a zone.
func (d *Deployment) NewRouter(machine int, zone string) (*Router, error) {
	ip := d.Address(machine)
	router := &Router{
		Name: fmt.Sprintf("edge-%s-%d", zone, machine), deployment: d,
		Front: fmt.Sprintf("%s:%d", ip, d.ports.front), ready: fmt.Sprintf("%s:%d", ip, d.ports.ready),
	}
	router.settings = filepath.Join(d.directory, router.Name+".toml")
	text := fmt.Sprintf(settingsText, router.Name, ip, zone, d.ports.peers, d.ports.peers+15, router.Front, router.ready, MemoryMb, d.storeAddr)
	if err := os.WriteFile(router.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.routers = append(d.routers, router)
	return router, router.Start()
}

// settingsText is a settings file as DEPLOY.md shows it, with the bounds of the small sites.
const settingsText = `node = %q
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "ost-at"
portRange = [%d,%d]
bootstrap = false
discovery = "platform"
heartbeatMs = 1200
[zones]
wien-halle = "ost-at"
linz-halle = "ost-at"
graz-halle = "ost-at"
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

// Start starts the router's process by the run line of the deploy file.
func (r *Router) Start() error {
	command := exec.Command(routerBinary, "edge", "--metrics-port", "9464", "--metrics-path", "/metrics")
	command.Env = append(os.Environ(), "FIELDPOND_CONFIG="+r.settings)
	log, err := os.OpenFile(r.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.command, r.ended = command, ended
	return nil
}

// Kill kills the router's process and waits until it has ended.
func (r *Router) Kill() {
	r.mu.Lock()
	command, ended := r.command, r.ended
	r.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGKILL)
	<-ended
}

// MemoryMb is the memory of a router in MiB above which the platform kills it.
const MemoryMb = 284

// UsedMb returns the resident memory of the router's process in MiB, 0 if it has ended.
func (r *Router) UsedMb() int {
	r.mu.Lock()
	process := r.command.Process.Pid
	r.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(fields[0])
	return kib >> 10
}

// Log returns what the router has logged so far.
func (r *Router) Log() string {
	text, err := os.ReadFile(r.settings + ".log")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// readyPoll is the time between two checks whether a router is ready.
const readyPoll = 20 * time.Millisecond

// AwaitReady waits until the router is ready, and reports whether it was before the time was over.
func (r *Router) AwaitReady(most time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(readyPoll) {
		answer, err := client.Get("http://" + r.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Trouble reports whether the case is to cause its disruption: the variable TROUBLE is not 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

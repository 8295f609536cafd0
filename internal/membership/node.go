package membership

import (
	"context"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ring"
)

const (
	// tickPeriod is the period of Machine.Tick; the probe period must be at least four times
	// as long.
	tickPeriod = 100 * time.Millisecond
	// Capacities of the rings between the goroutines.
	inboundCapacity  = 1024
	outboundCapacity = 1024
	commandCapacity  = 256
	eventCapacity    = 4096
)

// Config configures a Node.
type Config struct {
	// Self is this router's record. A zero Incarnation is replaced by the
	// start time in milliseconds.
	Self Member
	// Listen is the UDP address to listen on; empty means Self.GossipAddress. With port 0
	// the system chooses the port, and Self.GossipAddress is set to the result.
	Listen string
	// ClusterKey authenticates datagrams; at least MinKey bytes.
	ClusterKey []byte
	// Seeds are gossip addresses of other routers; AddSeeds adds more.
	Seeds []string
	// RandomSeed seeds the protocol's random choices; zero means the start time.
	RandomSeed int64
	// Timing overrides the periods; zero fields take the defaults.
	Timing Timing
}

// Counters is a snapshot of a node's counters.
type Counters struct {
	// DatagramsSent, DatagramsReceived, BytesSent and BytesReceived count UDP
	// payloads.
	DatagramsSent, DatagramsReceived, BytesSent, BytesReceived uint64
	// Refused counts datagrams that Codec.Open rejected.
	Refused uint64
	// Unsent counts datagrams that could not be encoded, resolved or written.
	Unsent uint64
	// Rings are the counters of the rings between the goroutines.
	Rings []ring.Counters
}

// Node runs a Machine over UDP. Its goroutines are a receiver, a runner, which alone accesses
// the machine, and a sender. All methods are safe for concurrent use.
type Node struct {
	connection *net.UDPConn
	codec      *Codec
	view       atomic.Pointer[View]
	head       atomic.Pointer[FleetHead]
	inbound    *ring.Ring[arrival]
	outbound   *ring.Ring[Envelope]
	commands   *ring.Ring[command]
	events     *ring.Ring[Event]

	datagramsSent, datagramsReceived, bytesSent, bytesReceived, refused, unsent atomic.Uint64

	stopping       chan struct{}
	stopOnce       sync.Once
	machineRunning sync.WaitGroup
	workers        sync.WaitGroup
}

type arrival struct {
	source  string
	message *Message
}

type command struct {
	run  func(machine *Machine, now time.Time)
	done chan struct{}
}

// Start starts a node, which runs until Stop is called or the context ends.
func Start(ctx context.Context, config Config) (*Node, error) {
	codec, err := NewCodec(config.ClusterKey)
	if err != nil {
		return nil, err
	}
	connection, self, err := listen(config)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if self.Incarnation == 0 {
		self.Incarnation = uint64(now.UnixMilli())
	}
	if config.RandomSeed == 0 {
		config.RandomSeed = now.UnixNano()
	}
	machine, err := NewMachine(now, self, config.Timing, rand.New(rand.NewSource(config.RandomSeed)))
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	machine.AddSeeds(config.Seeds)
	node := &Node{
		connection: connection,
		codec:      codec,
		inbound:    ring.New[arrival]("membership inbound", inboundCapacity, ring.DropOldest),
		outbound:   ring.New[Envelope]("membership outbound", outboundCapacity, ring.DropOldest),
		commands:   ring.New[command]("membership commands", commandCapacity, ring.RefuseNew),
		events:     ring.New[Event]("membership events", eventCapacity, ring.DropOldest),
		stopping:   make(chan struct{}),
	}
	node.publish(machine)
	node.machineRunning.Add(1)
	node.workers.Add(3)
	go node.receive()
	go node.runMachine(ctx, machine)
	go node.send()
	return node, nil
}

func listen(config Config) (*net.UDPConn, Member, error) {
	self := config.Self
	address := config.Listen
	if address == "" {
		address = self.GossipAddress
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, self, fault.Wrap(err, fault.InvalidSettings, "the gossip address %q cannot be resolved", address).
			WithRemedy("give the gossip address as HOST:PORT")
	}
	connection, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, self, fault.Wrap(err, fault.InvalidSettings, "cannot listen on gossip address %q", address).
			WithRemedy("choose an address of this machine and a free UDP port")
	}
	if resolved.Port == 0 {
		self.GossipAddress = connection.LocalAddr().String()
	}
	return connection, self, nil
}

// View returns the current view of the members.
func (n *Node) View() View { return *n.view.Load() }

// Head returns the newest fleet version seen.
func (n *Node) Head() FleetHead { return *n.head.Load() }

// Events returns the ring of events. It has one consumer; if that is slow, the oldest events
// are dropped and counted, and View still returns the current state.
func (n *Node) Events() *ring.Ring[Event] { return n.events }

// AddSeeds adds possible gossip addresses of other routers.
func (n *Node) AddSeeds(ctx context.Context, addresses []string) error {
	return n.command(ctx, func(machine *Machine, _ time.Time) { machine.AddSeeds(addresses) })
}

// SetFleetVersion announces this router's active fleet version.
func (n *Node) SetFleetVersion(ctx context.Context, version uint64, digest string) error {
	return n.command(ctx, func(machine *Machine, now time.Time) { machine.SetFleetVersion(now, version, digest) })
}

// Broadcast disseminates a report of this router's own observation. It sets Observer and
// ObservedAt.
func (n *Node) Broadcast(ctx context.Context, report BackendReport) error {
	var refusal error
	err := n.command(ctx, func(machine *Machine, now time.Time) { refusal = machine.Broadcast(now, report) })
	if err != nil {
		return err
	}
	return refusal
}

// Leave announces that this router shuts down. The node still answers until Stop.
func (n *Node) Leave(ctx context.Context) error {
	return n.command(ctx, func(machine *Machine, now time.Time) { machine.Leave(now) })
}

// Stop notifies a few members that this router has stopped and ends the goroutines.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopping) })
	n.workers.Wait()
}

// Counters returns the node's counters.
func (n *Node) Counters() Counters {
	return Counters{
		DatagramsSent:     n.datagramsSent.Load(),
		DatagramsReceived: n.datagramsReceived.Load(),
		BytesSent:         n.bytesSent.Load(),
		BytesReceived:     n.bytesReceived.Load(),
		Refused:           n.refused.Load(),
		Unsent:            n.unsent.Load(),
		Rings: []ring.Counters{
			n.inbound.Counters(), n.outbound.Counters(), n.commands.Counters(), n.events.Counters(),
		},
	}
}

// command runs an input in the goroutine of the machine and waits for its completion.
func (n *Node) command(ctx context.Context, run func(machine *Machine, now time.Time)) error {
	input := command{run: run, done: make(chan struct{})}
	if !n.commands.Push(input) {
		return fault.New(fault.Overloaded, "the membership node has %d inputs waiting", commandCapacity)
	}
	select {
	case <-input.done:
		return nil
	case <-n.stopping:
		return fault.New(fault.ShuttingDown, "the membership node has stopped")
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "waiting for the membership node")
	}
}

// runMachine is the goroutine that owns the machine.
func (n *Node) runMachine(ctx context.Context, machine *Machine) {
	defer n.workers.Done()
	defer n.machineRunning.Done()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.stopOnce.Do(func() { close(n.stopping) })
		case <-n.stopping:
		case <-ticker.C:
			machine.Tick(time.Now())
		case <-n.inbound.Ready():
			n.drainInbound(machine)
		case <-n.commands.Ready():
			n.drainCommands(machine)
		}
		select {
		case <-n.stopping:
			machine.Depart(time.Now())
			n.dispatch(machine)
			return
		default:
			n.dispatch(machine)
		}
	}
}

func (n *Node) drainInbound(machine *Machine) {
	for next, ok := n.inbound.Pop(); ok; next, ok = n.inbound.Pop() {
		machine.Step(time.Now(), next.source, next.message)
	}
}

func (n *Node) drainCommands(machine *Machine) {
	for next, ok := n.commands.Pop(); ok; next, ok = n.commands.Pop() {
		next.run(machine, time.Now())
		n.dispatch(machine)
		close(next.done)
	}
}

// dispatch publishes the machine's output to the rings.
func (n *Node) dispatch(machine *Machine) {
	output := machine.Ready()
	if len(output.Events) > 0 {
		n.publish(machine)
	}
	for _, event := range output.Events {
		n.events.Push(event)
	}
	for _, envelope := range output.Messages {
		n.outbound.Push(envelope)
	}
}

func (n *Node) publish(machine *Machine) {
	view, head := machine.View(), machine.Head()
	n.view.Store(&view)
	n.head.Store(&head)
}

// receive is the goroutine that reads datagrams until the connection is closed.
func (n *Node) receive() {
	defer n.workers.Done()
	buffer := make([]byte, MaxDatagram+1)
	for {
		length, source, err := n.connection.ReadFromUDPAddrPort(buffer)
		select {
		case <-n.stopping:
			return
		default:
		}
		if err != nil {
			n.refused.Add(1)
			continue
		}
		n.datagramsReceived.Add(1)
		n.bytesReceived.Add(uint64(length))
		message, err := n.codec.Open(buffer[:length])
		if err != nil {
			n.refused.Add(1)
			continue
		}
		unmapped := netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		n.inbound.Push(arrival{source: unmapped.String(), message: message})
	}
}

// send is the goroutine that writes datagrams; only it may block on name resolution. Once
// the machine has stopped, it sends the remaining messages and closes the connection, which
// ends the receiver.
func (n *Node) send() {
	defer n.workers.Done()
	for {
		select {
		case <-n.outbound.Ready():
			n.drainOutbound()
		case <-n.stopping:
			n.machineRunning.Wait()
			n.drainOutbound()
			_ = n.connection.Close()
			return
		}
	}
}

func (n *Node) drainOutbound() {
	for next, ok := n.outbound.Pop(); ok; next, ok = n.outbound.Pop() {
		if !n.transmit(next) {
			n.unsent.Add(1)
		}
	}
}

func (n *Node) transmit(envelope Envelope) bool {
	datagram, err := n.codec.Seal(&envelope.Message)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddrPort(envelope.To)
	if err != nil {
		resolved, err := net.ResolveUDPAddr("udp", envelope.To)
		if err != nil {
			return false
		}
		address = resolved.AddrPort()
	}
	if _, err := n.connection.WriteToUDPAddrPort(datagram, address); err != nil {
		return false
	}
	n.datagramsSent.Add(1)
	n.bytesSent.Add(uint64(len(datagram)))
	return true
}

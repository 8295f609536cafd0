// Package simnet simulates a network of membership machines in one process, in virtual time
// with seeded delay, loss and partitions. Runs with the same seed and calls are equal.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
)

// datagramOverhead is the size of the IPv4 and UDP headers in bytes.
const datagramOverhead = 28

// Config describes a simulated network.
type Config struct {
	// Seed seeds every random choice.
	Seed int64
	// Loss is the fraction of datagrams lost, 0 to 1.
	Loss float64
	// MinDelay and MaxDelay bound the uniformly distributed one-way delay.
	MinDelay, MaxDelay time.Duration
	// Tick is the time between two ticks of a machine (200 ms).
	Tick time.Duration
	// Timing is the timing of every machine.
	Timing membership.Timing
	// Encode encodes and decodes every message and counts its bytes.
	Encode bool
	// Delay, if not nil, returns the one-way delay between two nodes, to which the random
	// delay is added.
	Delay func(from, to *Node) time.Duration
	// Around, if not nil, is called with each step of a node, which it must run; a caller
	// may measure its time.
	Around func(node *Node, work func())
	// OnEvents, if not nil, is called with each batch of a node's events, which then are not
	// added to Node.Events.
	OnEvents func(node *Node, events []membership.Event)
}

// Node is one simulated router.
type Node struct {
	// Machine is replaced when the node restarts.
	Machine *membership.Machine
	// Member is the node's own record at its last start.
	Member membership.Member
	// Events holds the events since the last call of TakeEvents.
	Events []membership.Event
	// BytesSent and MessagesSent count datagrams, IP and UDP headers included.
	BytesSent, MessagesSent uint64
	// BytesReceived and MessagesReceived count received datagrams.
	BytesReceived, MessagesReceived uint64
	// SentByKind is BytesSent by kind of message.
	SentByKind [membership.KindGossip + 1]uint64
	up         bool
	generation uint64
}

// Up reports whether the node runs.
func (n *Node) Up() bool { return n.up }

// TakeEvents returns and clears the node's events.
func (n *Node) TakeEvents() []membership.Event {
	events := n.Events
	n.Events = nil
	return events
}

// Network is the simulated network. It is not safe for concurrent use.
type Network struct {
	// Cut reports whether datagrams from one node to another are lost; nil
	// means none. It may be replaced between calls of Run.
	Cut func(from, to *Node) bool
	// Nodes are in start order.
	Nodes []*Node

	config    Config
	random    *rand.Rand
	codec     *membership.Codec
	now       time.Time
	queue     actionQueue
	byAddress map[string]*Node
	order     uint64
}

// New returns an empty network at a fixed start time.
func New(config Config) (*Network, error) {
	if config.Tick <= 0 {
		config.Tick = 200 * time.Millisecond
	}
	codec, err := membership.NewCodec([]byte("simulated cluster key"))
	if err != nil {
		return nil, err
	}
	return &Network{
		config:    config,
		random:    rand.New(rand.NewSource(config.Seed)),
		codec:     codec,
		now:       time.UnixMilli(1_700_000_000_000),
		byAddress: map[string]*Node{},
	}, nil
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Start adds and starts a node with the given number, zone and seeds.
func (n *Network) Start(number int, zone ident.Zone, seeds []string) (*Node, error) {
	node := &Node{Member: membership.Member{
		Node:          ident.Node(fmt.Sprintf("router-%03d", number)),
		Zone:          zone,
		HTTPAddress:   fmt.Sprintf("10.0.%d.%d:8080", number/256, number%256),
		GossipAddress: Address(number),
	}}
	n.Nodes = append(n.Nodes, node)
	n.byAddress[node.Member.GossipAddress] = node
	return node, n.Restart(node, seeds)
}

// Address returns the gossip address of the node with the given number.
func Address(number int) string { return fmt.Sprintf("10.0.%d.%d:7946", number/256, number%256) }

// Restart starts a node again without its former state, stopping it first if it runs.
func (n *Network) Restart(node *Node, seeds []string) error {
	node.Member.Incarnation = uint64(n.now.UnixMilli())
	random := rand.New(rand.NewSource(n.random.Int63()))
	machine, err := membership.NewMachine(n.now, node.Member, n.config.Timing, random)
	if err != nil {
		return err
	}
	machine.AddSeeds(seeds)
	node.Machine, node.Events, node.up = machine, nil, true
	node.generation++
	n.schedule(time.Duration(n.random.Int63n(int64(n.config.Tick))), action{node: node, generation: node.generation})
	return nil
}

// Stop stops or pauses a node without notifying any other.
func (n *Network) Stop(node *Node) { node.up = false }

// Resume continues a stopped node with its former state, as after a pause.
func (n *Network) Resume(node *Node) {
	node.up = true
	node.generation++
	n.schedule(0, action{node: node, generation: node.generation})
}

// Introduce adds every node to the view of every running node without sending datagrams,
// so that a large cluster converges at once.
func (n *Network) Introduce() {
	for _, from := range n.Nodes {
		rumours := []membership.Rumour{membership.Rumour(from.Member)}
		message := &membership.Message{
			Kind: membership.KindMembers, From: from.Member.Node, Incarnation: from.Member.Incarnation, Rumours: rumours,
		}
		for _, to := range n.Nodes {
			if to.up {
				to.Machine.Step(n.now, from.Member.GossipAddress, message)
				to.Events = append(to.Events, to.Machine.Ready().Events...)
			}
		}
	}
}

// Do applies an input to a node's machine and sends the resulting messages.
func (n *Network) Do(node *Node, input func(machine *membership.Machine, now time.Time)) {
	input(node.Machine, n.now)
	n.collect(node)
}

// After schedules a call after a delay in virtual time, to be run by a later Run.
func (n *Network) After(delay time.Duration, call func()) { n.schedule(delay, action{call: call}) }

// Run advances virtual time.
func (n *Network) Run(duration time.Duration) {
	end := n.now.Add(duration)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(action)
		n.now = next.at
		n.runAction(next)
	}
	n.now = end
}

func (n *Network) runAction(next action) {
	switch {
	case next.call != nil:
		next.call()
	case !next.node.up:
	case next.message != nil:
		n.deliver(next)
	case next.generation == next.node.generation:
		n.runAround(next.node, func() { next.node.Machine.Tick(n.now) })
		n.collect(next.node)
		n.schedule(n.config.Tick, next)
	}
}

func (n *Network) deliver(next action) {
	next.node.BytesReceived += uint64(next.size)
	next.node.MessagesReceived++
	n.runAround(next.node, func() {
		message := next.message
		if next.datagram != nil {
			message = n.open(next.datagram)
		}
		next.node.Machine.Step(n.now, next.source, message)
	})
	n.collect(next.node)
}

func (n *Network) open(datagram []byte) *membership.Message {
	message, err := n.codec.Open(datagram)
	if err != nil {
		panic(err)
	}
	return message
}

func (n *Network) runAround(node *Node, work func()) {
	if n.config.Around == nil {
		work()
		return
	}
	n.config.Around(node, work)
}

func (n *Network) collect(node *Node) {
	output := node.Machine.Ready()
	if n.config.OnEvents == nil {
		node.Events = append(node.Events, output.Events...)
	} else if len(output.Events) > 0 {
		n.config.OnEvents(node, output.Events)
	}
	for i := range output.Messages {
		n.transmit(node, output.Messages[i])
	}
}

func (n *Network) transmit(from *Node, envelope membership.Envelope) {
	arrival := action{message: &envelope.Message, source: from.Member.GossipAddress}
	if n.config.Encode {
		n.runAround(from, func() { arrival.datagram = n.seal(&envelope.Message) })
		arrival.size = len(arrival.datagram) + datagramOverhead
		from.BytesSent += uint64(arrival.size)
		from.SentByKind[envelope.Message.Kind] += uint64(arrival.size)
		from.MessagesSent++
	}
	to := n.byAddress[envelope.To]
	lost := n.random.Float64() < n.config.Loss
	if to == nil || lost || (n.Cut != nil && n.Cut(from, to)) {
		return
	}
	delay := n.config.MinDelay
	if spread := n.config.MaxDelay - n.config.MinDelay; spread > 0 {
		delay += time.Duration(n.random.Int63n(int64(spread)))
	}
	if n.config.Delay != nil {
		delay += n.config.Delay(from, to)
	}
	arrival.node = to
	n.schedule(delay, arrival)
}

func (n *Network) seal(message *membership.Message) []byte {
	datagram, err := n.codec.Seal(message)
	if err != nil {
		panic(err)
	}
	return datagram
}

func (n *Network) schedule(delay time.Duration, next action) {
	n.order++
	next.at, next.order = n.now.Add(delay), n.order
	heap.Push(&n.queue, next)
}

// action is a call, a tick, or the arrival of a message, at a virtual time.
type action struct {
	at         time.Time
	order      uint64
	call       func()
	node       *Node
	generation uint64
	message    *membership.Message
	// datagram is the encoded message if Config.Encode is set, and size its bytes on the wire.
	datagram []byte
	size     int
	source   string
}

type actionQueue []action

// Len implements heap.Interface.
func (a actionQueue) Len() int { return len(a) }

// Less implements heap.Interface: by time, then in scheduling order.
func (a actionQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}

// Swap implements heap.Interface.
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actionQueue) Push(item any) { *a = append(*a, item.(action)) }

// Pop implements heap.Interface.
func (a *actionQueue) Pop() any {
	last := len(*a) - 1
	item := (*a)[last]
	*a = (*a)[:last]
	return item
}

package membership

import "github.com/fieldpond/fieldpond/internal/ident"

// MessageKind says what a datagram asks or answers.
type MessageKind uint8

const (
	// KindPing asks Target for a KindAck with the same Sequence.
	KindPing MessageKind = iota + 1
	// KindAck answers a ping.
	KindAck
	// KindPingRequest asks the receiver to probe Target for the sender.
	KindPingRequest
	// KindSync opens an anti-entropy exchange with the sender's digests.
	KindSync
	// KindSyncAnswer closes the digests' exchange with the receiver's digests.
	KindSyncAnswer
	// KindMembers carries member records found to differ by a sync.
	KindMembers
	// KindGossip carries only rumours and signs.
	KindGossip
)

// Rumour is a Member on the wire. Zone and addresses are left out when the
// receivers are expected to know them.
type Rumour struct {
	Node          ident.Node `cbor:"1,keyasint"`
	Zone          ident.Zone `cbor:"2,keyasint,omitempty"`
	HTTPAddress   string     `cbor:"3,keyasint,omitempty"`
	GossipAddress string     `cbor:"4,keyasint,omitempty"`
	Incarnation   uint64     `cbor:"5,keyasint"`
	State         State      `cbor:"6,keyasint,omitempty"`
	FleetVersion  uint64     `cbor:"7,keyasint,omitempty"`
}

// ReportKind says what was seen of a back end.
type ReportKind uint8

const (
	// ReportDraining says that the back end announced that it stops.
	ReportDraining ReportKind = iota + 1
	// ReportDead says that the back end does not answer.
	ReportDead
	// ReportRestarted says that the back end came back as a new incarnation.
	ReportRestarted
)

// BackendReport tells every router that a back end must be excluded. It holds no
// request text. Signs are equal when Backend, Incarnation and Kind are.
type BackendReport struct {
	// Backend is the engine or application name of the fleet file.
	Backend string `cbor:"1,keyasint"`
	// Incarnation is the life of the back end that the sign is about.
	Incarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	// Kind says what was seen.
	Kind ReportKind `cbor:"3,keyasint"`
	// Observer is the router that saw it first.
	Observer ident.Node `cbor:"4,keyasint"`
	// ObservedAt is the observer's clock in milliseconds of the Unix epoch. It
	// only tells a repeated sign from a new one; it is not compared to a clock.
	ObservedAt int64 `cbor:"5,keyasint"`
}

// FleetHead is the newest fleet version that a router knows of.
type FleetHead struct {
	// Version is the fleet version.
	Version uint64 `cbor:"1,keyasint"`
	// Digest is the content address of the version's body.
	Digest string `cbor:"2,keyasint"`
	// Holder is a router that has the body in force.
	Holder ident.Node `cbor:"3,keyasint"`
}

// Message is the content of one datagram.
type Message struct {
	Kind     MessageKind `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint,omitempty"`
	// From and Incarnation identify the sender's life.
	From        ident.Node `cbor:"3,keyasint"`
	Incarnation uint64     `cbor:"4,keyasint"`
	// HeadVersion is the newest fleet version the sender knows of.
	HeadVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Target names who is to answer a ping; TargetAddress where it listens.
	Target        ident.Node      `cbor:"6,keyasint,omitempty"`
	TargetAddress string          `cbor:"7,keyasint,omitempty"`
	Rumours       []Rumour        `cbor:"8,keyasint,omitempty"`
	Reports       []BackendReport `cbor:"9,keyasint,omitempty"`
	Head          *FleetHead      `cbor:"10,keyasint,omitempty"`
	// Salt seeds the digests of one exchange, so that two different buckets
	// which collide once do not collide for ever.
	Salt uint64 `cbor:"11,keyasint,omitempty"`
	// Buckets holds bucketCount big-endian 32-bit digests.
	Buckets []byte `cbor:"12,keyasint,omitempty"`
	// Joining says that the sender has not met a router that knows the cluster.
	Joining bool `cbor:"13,keyasint,omitempty"`
}

// Envelope is a message with the address it goes to.
type Envelope struct {
	To      string
	Message Message
}

// EventKind says what changed.
type EventKind uint8

const (
	// MemberChanged reports a member's new record in Event.Member.
	MemberChanged EventKind = iota + 1
	// ReportReceived reports a new sign of another router in Event.Sign.
	ReportReceived
	// FleetHeadRaised reports a newer fleet version in Event.Head.
	FleetHeadRaised
	// MemberRemoved reports a dead member dropped from the view.
	MemberRemoved
	// MemberVersionChanged reports in Event.Member that only the fleet version that a
	// member has in force changed. It says nothing about who owns what: each
	// change of the fleet file raises it once for every member.
	MemberVersionChanged
)

// Event is one change of what this router believes.
type Event struct {
	Kind   EventKind
	Member Member
	Report BackendReport
	Head   FleetHead
}

package membership

import "github.com/fieldpond/fieldpond/internal/ident"

// MessageKind is the kind of a datagram.
type MessageKind uint8

const (
	// KindPing requests a KindAck with the same Sequence from Target.
	KindPing MessageKind = iota + 1
	// KindAck answers a ping.
	KindAck
	// KindPingRequest requests that the receiver probes Target for the sender.
	KindPingRequest
	// KindSync opens an anti-entropy exchange with the sender's digests.
	KindSync
	// KindSyncAnswer answers a KindSync with the receiver's digests.
	KindSyncAnswer
	// KindMembers carries member records that differ according to a sync.
	KindMembers
	// KindGossip carries only rumours and reports.
	KindGossip
)

// Rumour is a Member on the wire. Zone and addresses are omitted if the receivers are
// expected to have them.
type Rumour struct {
	Node          ident.Node `cbor:"1,keyasint"`
	Zone          ident.Zone `cbor:"2,keyasint,omitempty"`
	HTTPAddress   string     `cbor:"3,keyasint,omitempty"`
	GossipAddress string     `cbor:"4,keyasint,omitempty"`
	Incarnation   uint64     `cbor:"5,keyasint"`
	State         State      `cbor:"6,keyasint,omitempty"`
	FleetVersion  uint64     `cbor:"7,keyasint,omitempty"`
}

// ReportKind is the kind of a BackendReport.
type ReportKind uint8

const (
	// ReportDraining means that the back end announced that it stops.
	ReportDraining ReportKind = iota + 1
	// ReportDead means that the back end does not answer.
	ReportDead
	// ReportRestarted means that the back end restarted as a new incarnation.
	ReportRestarted
)

// BackendReport notifies every router that a back end must be excluded. It contains no
// request text. Reports are equal if Backend, Incarnation and Kind are.
type BackendReport struct {
	// Backend is the engine or application name of the fleet file.
	Backend string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the back end that the report is about.
	Incarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	// Kind is what was observed.
	Kind ReportKind `cbor:"3,keyasint"`
	// Observer is the router that observed it first.
	Observer ident.Node `cbor:"4,keyasint"`
	// ObservedAt is the observer's clock in milliseconds of the Unix epoch. It only
	// distinguishes a repeated report from a new one, and is never compared to a clock.
	ObservedAt int64 `cbor:"5,keyasint"`
}

// FleetHead is the newest fleet version that a router has seen.
type FleetHead struct {
	// Version is the fleet version.
	Version uint64 `cbor:"1,keyasint"`
	// Digest is the content address of the version's body.
	Digest string `cbor:"2,keyasint"`
	// Holder is a router on which the version is active.
	Holder ident.Node `cbor:"3,keyasint"`
}

// Message is the content of one datagram.
type Message struct {
	Kind     MessageKind `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint,omitempty"`
	// From and Incarnation identify the sender.
	From        ident.Node `cbor:"3,keyasint"`
	Incarnation uint64     `cbor:"4,keyasint"`
	// HeadVersion is the newest fleet version that the sender has seen.
	HeadVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Target is the member that must answer a ping, TargetAddress its gossip address.
	Target        ident.Node      `cbor:"6,keyasint,omitempty"`
	TargetAddress string          `cbor:"7,keyasint,omitempty"`
	Rumours       []Rumour        `cbor:"8,keyasint,omitempty"`
	Reports       []BackendReport `cbor:"9,keyasint,omitempty"`
	Head          *FleetHead      `cbor:"10,keyasint,omitempty"`
	// Salt seeds the digests of one exchange, so that two different buckets that collide
	// once do not collide in every exchange.
	Salt uint64 `cbor:"11,keyasint,omitempty"`
	// Buckets holds bucketCount big-endian 32-bit digests.
	Buckets []byte `cbor:"12,keyasint,omitempty"`
	// Joining means that the sender has not reached a router that has joined.
	Joining bool `cbor:"13,keyasint,omitempty"`
}

// Envelope is a message with its destination address.
type Envelope struct {
	To      string
	Message Message
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// MemberChanged reports a member's new record in Event.Member.
	MemberChanged EventKind = iota + 1
	// ReportReceived reports a new report of another router in Event.Report.
	ReportReceived
	// FleetHeadRaised reports a newer fleet version in Event.Head.
	FleetHeadRaised
	// MemberRemoved reports that a dead member was removed from the view.
	MemberRemoved
	// MemberVersionChanged reports in Event.Member that only a member's active fleet version
	// changed. It does not affect ownership; each change of the fleet file causes one for
	// every member.
	MemberVersionChanged
)

// Event is one change of this router's view.
type Event struct {
	Kind   EventKind
	Member Member
	Report BackendReport
	Head   FleetHead
}

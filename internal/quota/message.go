package quota

import (
	"math"
	"net/netip"
	"time"
)

// Message is what one agent tells another. A message may be lost, repeated or late.
// It is one of Hello, Welcome, Leave, Ask, Answer and Return; Datagram is its form on
// the wire.
type Message interface{ message() }

// Hello says that its sender is up and, if Member is set, that it is a member of the
// receiver's pool.
type Hello struct {
	Member bool `cbor:"1,keyasint,omitempty"`
	// StartCredit says that the sender adds its start credit to the pool.
	StartCredit bool `cbor:"2,keyasint,omitempty"`
	// Number is told back by the Welcome.
	Number uint64 `cbor:"3,keyasint"`
	// Revision tells how old the sender is among all routers, 0 if it does not matter to
	// the receiver.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
}

// HelloAck answers a Hello.
type HelloAck struct {
	Number uint64 `cbor:"1,keyasint"`
	// Revision tells how old the answering router is among all; it is 0 until known.
	Revision uint64 `cbor:"2,keyasint"`
}

// Leave says that its sender is no member any more. What it sent before may arrive later.
type Leave struct {
	// Hello and Ask are the numbers of the last ones that it sent to anyone before.
	Hello          uint64 `cbor:"1,keyasint,omitempty"`
	AcquireRequest uint64 `cbor:"2,keyasint,omitempty"`
}

// Subject is whose limit is claimed: a tenant by its name, or one life of a back end.
type Subject string

// Reservation is what a request would use of a limit.
type Reservation struct {
	Subject Subject `cbor:"1,keyasint"`
	Limit   Limit   `cbor:"2,keyasint"`
	// Version orders the limits of a subject; the highest is in force.
	Version uint64  `cbor:"3,keyasint"`
	Amount  float64 `cbor:"4,keyasint"`
	// Preferred claims are granted a little earlier than others (preferredPart).
	Preferred bool `cbor:"5,keyasint,omitempty"`
}

// sound reports whether the claim may be counted: what another router tells may be
// anything.
func (c *Reservation) sound() bool {
	finite := func(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
	return finite(c.Amount) && finite(c.Limit.Rate) && finite(c.Limit.Burst) && c.Limit.Limited()
}

// AcquireRequest asks the leader of a pool to grant a claim. It is repeated with the same ID if no
// answer comes.
type AcquireRequest struct {
	ID          uint64      `cbor:"1,keyasint"`
	Reservation Reservation `cbor:"2,keyasint"`
}

// AcquireResponse answers an Ask.
type AcquireResponse struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time until the claim could be granted, if it is denied.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Forming says that neither is decided, since members of the pool are still coming:
	// the claim is to be asked for again.
	Forming bool `cbor:"4,keyasint,omitempty"`
}

// Release gives back what was granted for a request that did not run.
type Release struct {
	ID uint64 `cbor:"1,keyasint"`
}

func (Hello) message()           {}
func (HelloAck) message()        {}
func (Leave) message()           {}
func (AcquireRequest) message()  {}
func (AcquireResponse) message() {}
func (Release) message()         {}

// Datagram carries one message; exactly one field is set.
type Datagram struct {
	Hello           *Hello           `cbor:"1,keyasint,omitempty"`
	HelloAck        *HelloAck        `cbor:"2,keyasint,omitempty"`
	Leave           *Leave           `cbor:"3,keyasint,omitempty"`
	AcquireRequest  *AcquireRequest  `cbor:"4,keyasint,omitempty"`
	AcquireResponse *AcquireResponse `cbor:"5,keyasint,omitempty"`
	Release         *Release         `cbor:"6,keyasint,omitempty"`
}

// Pack returns the datagram of a message.
func Pack(msg Message) *Datagram {
	switch msg := msg.(type) {
	case Hello:
		return &Datagram{Hello: &msg}
	case HelloAck:
		return &Datagram{HelloAck: &msg}
	case Leave:
		return &Datagram{Leave: &msg}
	case AcquireRequest:
		return &Datagram{AcquireRequest: &msg}
	case AcquireResponse:
		return &Datagram{AcquireResponse: &msg}
	case Release:
		return &Datagram{Release: &msg}
	}
	return &Datagram{}
}

// Message returns what the datagram carries, or nil.
func (d *Datagram) Message() Message {
	switch {
	case d.Hello != nil:
		return *d.Hello
	case d.HelloAck != nil:
		return *d.HelloAck
	case d.Leave != nil:
		return *d.Leave
	case d.AcquireRequest != nil:
		return *d.AcquireRequest
	case d.AcquireResponse != nil:
		return *d.AcquireResponse
	case d.Release != nil:
		return *d.Release
	}
	return nil
}

// Envelope is a message to be sent.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// Grant is the permission to run one request.
type Grant struct {
	// Leader leads the pool that granted, as ID.
	Leader netip.AddrPort
	ID     uint64
}

// Result is what came of a claim: Granted, Denied or Unconfirmed.
type Result interface{ verdict() }

// Granted allows the request.
type Granted struct{ Grant Grant }

// Denied refuses it, since the tenant has used its limit.
type Denied struct {
	// RetryAfter is the time until the tenant may use as much.
	RetryAfter time.Duration
}

// Unconfirmed says that no leader of a pool answered in time.
type Unconfirmed struct{}

func (Granted) verdict()     {}
func (Denied) verdict()      {}
func (Unconfirmed) verdict() {}

// Decision is the verdict on the claim with an ID.
type Decision struct {
	ID     uint64
	Result Result
}

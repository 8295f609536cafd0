package quota

import (
	"math"
	"net/netip"
	"time"
)

// Message is a message between two agents. It may be lost, duplicated or late. It is one of
// Hello, HelloAck, Leave, AcquireRequest, AcquireResponse and Release, and sent as a Datagram.
type Message interface{ message() }

// Hello reports that its sender is up and, if Member is set, a member of the receiver's pool.
type Hello struct {
	Member bool `cbor:"1,keyasint,omitempty"`
	// StartCredit is true if the sender adds its start credit to the pool.
	StartCredit bool `cbor:"2,keyasint,omitempty"`
	// Number is echoed by the HelloAck.
	Number uint64 `cbor:"3,keyasint"`
	// Revision is that of the sender in the router list, 0 if it does not matter to the
	// receiver.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
}

// HelloAck acknowledges a Hello.
type HelloAck struct {
	Number uint64 `cbor:"1,keyasint"`
	// Revision is that of the sender in the router list, 0 until it is known.
	Revision uint64 `cbor:"2,keyasint"`
}

// Leave reports that its sender is no member any more. Its earlier messages may arrive later.
type Leave struct {
	// Hello and AcquireRequest are the numbers of the last ones that it sent to any router.
	Hello          uint64 `cbor:"1,keyasint,omitempty"`
	AcquireRequest uint64 `cbor:"2,keyasint,omitempty"`
}

// Subject is the owner of a limit: a tenant's name or an incarnation of a back end.
type Subject string

// Reservation is the part of a limit that a request would use.
type Reservation struct {
	Subject Subject `cbor:"1,keyasint"`
	Limit   Limit   `cbor:"2,keyasint"`
	// Version orders the limits of a subject; the highest applies.
	Version uint64  `cbor:"3,keyasint"`
	Amount  float64 `cbor:"4,keyasint"`
	// Preferred reservations are granted a little earlier than others (preferredFraction).
	Preferred bool `cbor:"5,keyasint,omitempty"`
}

// valid reports whether the numbers are finite and not negative: messages of other routers are
// not trusted.
func (r *Reservation) valid() bool {
	finite := func(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
	return finite(r.Amount) && finite(r.Limit.Rate) && finite(r.Limit.Burst) && r.Limit.Limited()
}

// AcquireRequest requests a reservation from the leader of a pool. A retry has the same ID.
type AcquireRequest struct {
	ID          uint64      `cbor:"1,keyasint"`
	Reservation Reservation `cbor:"2,keyasint"`
}

// AcquireResponse answers an AcquireRequest.
type AcquireResponse struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time until the request could be granted, if it is denied.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Forming is true if neither is decided, since members are still joining the pool: the
	// request is to be retried.
	Forming bool `cbor:"4,keyasint,omitempty"`
}

// Release releases the grant of a request that did not run.
type Release struct {
	ID uint64 `cbor:"1,keyasint"`
}

func (Hello) message()           {}
func (HelloAck) message()        {}
func (Leave) message()           {}
func (AcquireRequest) message()  {}
func (AcquireResponse) message() {}
func (Release) message()         {}

// Datagram contains one message; exactly one field is set.
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

// Message returns the message of the datagram, or nil.
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

// Envelope is a message and its receiver.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// Grant is the permission to run one request.
type Grant struct {
	// Leader is the leader of the pool that granted the request ID.
	Leader netip.AddrPort
	ID     uint64
}

// Result is the result of a reservation: Granted, Denied or Unconfirmed.
type Result interface{ result() }

// Granted allows the request.
type Granted struct{ Grant Grant }

// Denied refuses the request, since the limit is used up.
type Denied struct {
	// RetryAfter is the time until as much is free.
	RetryAfter time.Duration
}

// Unconfirmed means that no leader answered in time.
type Unconfirmed struct{}

func (Granted) result()     {}
func (Denied) result()      {}
func (Unconfirmed) result() {}

// Decision is the result of the request with an ID.
type Decision struct {
	ID     uint64
	Result Result
}

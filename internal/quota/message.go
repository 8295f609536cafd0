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

// Welcome acknowledges a Hello.
type Welcome struct {
	Number uint64 `cbor:"1,keyasint"`
	// Revision is that of the sender in the router list, 0 until it is known.
	Revision uint64 `cbor:"2,keyasint"`
}

// Leave reports that its sender is no member any more. Its earlier messages may arrive later.
type Leave struct {
	// Hello and AcquireRequest are the numbers of the last ones that it sent to any router.
	Hello uint64 `cbor:"1,keyasint,omitempty"`
	Ask   uint64 `cbor:"2,keyasint,omitempty"`
}

// Subject is the owner of a limit: a tenant's name or an incarnation of a back end.
type Subject string

// Claim is the part of a limit that a request would use.
type Claim struct {
	Subject Subject `cbor:"1,keyasint"`
	Limit   Limit   `cbor:"2,keyasint"`
	// Version orders the limits of a subject; the highest applies.
	Version uint64  `cbor:"3,keyasint"`
	Amount  float64 `cbor:"4,keyasint"`
	// Preferred reservations are granted a little earlier than others (preferredPart).
	Preferred bool `cbor:"5,keyasint,omitempty"`
}

// valid reports whether the numbers are finite and not negative: messages of other routers are
// not trusted.
func (c *Claim) valid() bool {
	finite := func(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
	return finite(c.Amount) && finite(c.Limit.Rate) && finite(c.Limit.Burst) && c.Limit.Limited()
}

// Ask requests a reservation from the leader of a pool. A retry has the same ID.
type Ask struct {
	ID    uint64 `cbor:"1,keyasint"`
	Claim Claim  `cbor:"2,keyasint"`
}

// Answer answers an AcquireRequest.
type Answer struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// After is the time until the request could be granted, if it is denied.
	After time.Duration `cbor:"3,keyasint,omitempty"`
	// Forming is true if neither is decided, since members are still joining the pool: the
	// request is to be retried.
	Forming bool `cbor:"4,keyasint,omitempty"`
}

// Return releases the grant of a request that did not run.
type Return struct {
	ID uint64 `cbor:"1,keyasint"`
}

func (Hello) message()   {}
func (Welcome) message() {}
func (Leave) message()   {}
func (Ask) message()     {}
func (Answer) message()  {}
func (Return) message()  {}

// Datagram contains one message; exactly one field is set.
type Datagram struct {
	Hello   *Hello   `cbor:"1,keyasint,omitempty"`
	Welcome *Welcome `cbor:"2,keyasint,omitempty"`
	Leave   *Leave   `cbor:"3,keyasint,omitempty"`
	Ask     *Ask     `cbor:"4,keyasint,omitempty"`
	Answer  *Answer  `cbor:"5,keyasint,omitempty"`
	Return  *Return  `cbor:"6,keyasint,omitempty"`
}

// Pack returns the datagram of a message.
func Pack(msg Message) *Datagram {
	switch msg := msg.(type) {
	case Hello:
		return &Datagram{Hello: &msg}
	case Welcome:
		return &Datagram{Welcome: &msg}
	case Leave:
		return &Datagram{Leave: &msg}
	case Ask:
		return &Datagram{Ask: &msg}
	case Answer:
		return &Datagram{Answer: &msg}
	case Return:
		return &Datagram{Return: &msg}
	}
	return &Datagram{}
}

// Message returns the message of the datagram, or nil.
func (d *Datagram) Message() Message {
	switch {
	case d.Hello != nil:
		return *d.Hello
	case d.Welcome != nil:
		return *d.Welcome
	case d.Leave != nil:
		return *d.Leave
	case d.Ask != nil:
		return *d.Ask
	case d.Answer != nil:
		return *d.Answer
	case d.Return != nil:
		return *d.Return
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
	// By is the leader of the pool that granted the request ID.
	By netip.AddrPort
	ID uint64
}

// Verdict is the result of a reservation: Granted, Denied or Unconfirmed.
type Verdict interface{ result() }

// Granted allows the request.
type Granted struct{ Grant Grant }

// Denied refuses the request, since the limit is used up.
type Denied struct {
	// After is the time until as much is free.
	After time.Duration
}

// Unconfirmed means that no leader answered in time.
type Unconfirmed struct{}

func (Granted) result()     {}
func (Denied) result()      {}
func (Unconfirmed) result() {}

// Decision is the result of the request with an ID.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

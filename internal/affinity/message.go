package affinity

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Record says where a stream began. TTL is the time for which its client may come back.
type Record struct {
	Key    Key           `cbor:"1,keyasint"`
	Origin Origin        `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
}

// Ask asks for the record of a stream that began at a service.
type Ask struct {
	Key     Key           `cbor:"1,keyasint"`
	Service ident.Service `cbor:"2,keyasint"`
}

// Answer answers an Ask.
type Answer struct {
	Key   Key  `cbor:"1,keyasint"`
	Known bool `cbor:"2,keyasint,omitempty"`
	// Conflicting is Entry.Conflicting. Origin and TTL are those of a known record.
	Conflicting bool          `cbor:"3,keyasint,omitempty"`
	Origin      Origin        `cbor:"4,keyasint"`
	TTL         time.Duration `cbor:"5,keyasint,omitempty"`
	// Prior is SearchConfig.Prior of the answering router.
	Prior    ident.Release `cbor:"6,keyasint,omitempty"`
	HasPrior bool          `cbor:"7,keyasint,omitempty"`
	// Several is whether streams of the service may have begun at several releases, as far as the answering
	// router knows, Routers the number of routers that it knows, itself included. Older builds tell neither.
	Several bool `cbor:"8,keyasint,omitempty"`
	Routers int  `cbor:"9,keyasint,omitempty"`
}

// Message is what routers send each other, as CBOR in a datagram.
type Message struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	Asks    []Ask    `cbor:"2,keyasint,omitempty"`
	Answers []Answer `cbor:"3,keyasint,omitempty"`
}

// RecordsPerMessage bounds the records of a message, so that it fits into a datagram.
const RecordsPerMessage = 12

// maxNameBytes bounds the names in a message.
const maxNameBytes = 128

// Valid reports whether a message of another router is one that this package sends.
func (m *Message) Valid() bool {
	if len(m.Records) > RecordsPerMessage || len(m.Asks) > 1 || len(m.Answers) > 1 {
		return false
	}
	for index := range m.Records {
		if !m.Records[index].Origin.Valid() {
			return false
		}
	}
	for index := range m.Answers {
		if !m.Answers[index].Origin.Valid() || len(m.Answers[index].Prior) > maxNameBytes {
			return false
		}
	}
	return len(m.Asks) == 0 || len(m.Asks[0].Service) <= maxNameBytes
}

// Valid reports whether the names of an origin have a length that this package sends.
func (o *Origin) Valid() bool {
	return len(o.Service) <= maxNameBytes && len(o.Release) <= maxNameBytes
}

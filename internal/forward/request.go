// Package forward runs one client request: it finds its route and tenant,
// chooses a back end for each attempt, passes the answer on, and sends the
// final answer as soon as it is known.
//
// Prompts are described by their parts and answers are passed on unchanged;
// the package depends neither on their text nor on the protocol of either
// side, which Caller and Sink implement.
package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Request is one request of a client, read whole.
type Request struct {
	ID     ident.Request
	Method string
	// Target is the request target as the client sent it, Path its path.
	Target, Path, Host string
	// Header is passed on to back ends.
	Header http.Header
	Body   []byte
	// Key is the client's API key, or empty.
	Key string
	// ClientTimeout is how long the client waits, counted from ReceivedAt; 0 if the
	// client did not state it.
	ClientTimeout time.Duration
	ReceivedAt    time.Time
	// ClientGone reports whether the client has closed its side; it may be nil. It
	// reports that at once, while a context is cancelled only a moment later.
	ClientGone func() bool
	// LastEventID is the id of the last event that the client has, or empty.
	LastEventID string
	// Resumes is the request that brought the client the first event of the stream that this one
	// continues, or empty.
	Resumes ident.Request
	// Prompt is nil for requests that run no model.
	Prompt *Prompt
	// Tokens is the number of prompt tokens plus the most that may be generated, 0 if
	// the client did not state it.
	Tokens int
}

// Part is one piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a prompt as an ordered chain of parts. All but the last are
// shared with other requests.
type Prompt struct {
	Model ident.Model
	Parts []Part
}

// shared returns the parts that other requests may have as well, in order.
func (p *Prompt) shared() []Part {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedIDs yields the ids of the shared parts, in order.
func (p *Prompt) sharedIDs(yield func(string) bool) {
	for _, part := range p.shared() {
		if !yield(part.ID) {
			return
		}
	}
}

// tokenCounts returns the token counts of the shared and unshared parts.
func (p *Prompt) tokenCounts() (shared, own int) {
	last := len(p.Parts) - 1
	for index, part := range p.Parts {
		if index == last {
			own = part.Tokens
		} else {
			shared += part.Tokens
		}
	}
	return shared, own
}

// mostlyShared reports whether at least half of the prompt's tokens can be used by
// other requests once it is saved to a prompt cache store.
func (p *Prompt) mostlyShared() bool {
	shared, own := p.tokenCounts()
	return own <= shared
}

// Attempt is one attempt of a request at a back end.
type Attempt struct {
	Request *Request
	Target  backend.Record
	// Remaining is the time left for the back end's work.
	Remaining time.Duration
	Tenant    ident.Tenant
	// Priority is the urgency of a model request; 0 is the most urgent.
	Priority int
	// Salt separates cached prompts of different weights and isolated tenants.
	Salt string
	// FetchFrom and SaveTo are addresses of prompt cache stores; the zero value means none.
	FetchFrom, SaveTo netip.AddrPort
	// Version is the version of the weights the attempt is meant for; 0 if it
	// runs no model.
	Version int
	// LastEventID is the id of the event to continue after, or empty.
	LastEventID string
	// MaxConnections bounds this router's connections to the back end.
	MaxConnections int
	// AckTimeout is how long bytes sent may stay unacknowledged by the back end's
	// machine before the connection counts as silent.
	AckTimeout time.Duration
	// Avoid are the connections on which the request was refused before, as exchange.Request has them.
	Avoid []uint64
	// Withdrawn reports, right before the attempt is sent, whether its back end accepts no
	// new requests any more.
	Withdrawn func() bool
}

// Execution is what an answer of a back end proves about execution.
type Execution uint8

const (
	// Genuine is the back end's own answer, unless it breaks off.
	Genuine Execution = iota + 1
	// NotExecuted proves that the back end did not and will not run the request.
	NotExecuted
	// OtherInstance proves the same as NotExecuted: another back end has the address.
	OtherInstance
	// OtherVersion proves the same as NotExecuted: the weights have another version.
	OtherVersion
	// InvalidAnswer may not be passed on; the request may have run.
	InvalidAnswer
)

// Reply is the answer to an attempt. Its body must be closed, and returns io.EOF
// only at the proven end.
type Reply struct {
	Status    int
	Header    http.Header
	Length    int64
	Body      io.ReadCloser
	Execution Execution
	// Unframed is whether the body has neither a length nor chunks: its end is that of its
	// connection, and proves little.
	Unframed bool
	// Version is the version of the weights that answered, 0 if unknown.
	Version int
	// ConnectTime is how long it took to open the connection; 0 if an open one was used.
	ConnectTime time.Duration
	// Through is the router that relayed the connection, the zero value for a direct one.
	Through netip.AddrPort
	// Carrier is the connection that the answer arrived on.
	Carrier exchange.Carrier
	// Advertised is what the answer advertises about the back end.
	Advertised backend.Advertised
}

// Caller sends attempts to back ends. Its errors are *exchange.Error.
type Caller interface {
	Send(ctx context.Context, attempt *Attempt) (*Reply, error)
}

// Sink sends the final answer to a client. Refuse is used instead of Head.
type Sink interface {
	// Head begins the answer; length is -1 if it is not known.
	Head(status int, header http.Header, length int64)
	// Write sends a piece of the body.
	Write(data []byte) error
	// Flush flushes what was written so far.
	Flush() error
	// Abort closes the connection, so that the answer is not taken as complete.
	Abort()
	// Refuse sends the router's own answer.
	Refuse(refusal *fault.Fault)
}

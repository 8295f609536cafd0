package detour

import (
	"bufio"
	"io"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// headerFraming asks a router for a framed connection, and confirms one. Routers of older builds ignore
// it, and their answers lack it.
const headerFraming = "Relay-Framing"

// framingChunked is the framing in which the bytes of the back end arrive in HTTP chunks. The last chunk
// tells that the back end ended its side; the end of the connection itself proves nothing.
const framingChunked = "chunked"

// trailerReset follows the last chunk if the back end did not end its side, but broke off.
const trailerReset = "Relay-End: reset"

const (
	// headerReceipt asks a router to tell after the last chunk how many bytes the back end has received. Routers of
	// older builds ignore it.
	headerReceipt = "Relay-Receipt"
	receiptBytes  = "bytes"
	// trailerReceived precedes that number.
	trailerReceived = "Relay-Received: "
)

const (
	lineEnd   = "\r\n"
	lastChunk = "0" + lineEnd
	// chunkDigits is the number of digits of a chunk's size.
	chunkDigits    = 4
	chunkHeadBytes = chunkDigits + len(lineEnd)
)

// errBackendReset means that the back end broke off its connection to the router that relays it.
var errBackendReset = errors.New("the back end reset its connection to the router that relays it")

// relayFramed copies what a back end sends in chunks, and tells how it ended. Its error is that of a
// write to the caller.
func relayFramed(caller io.Writer, backend io.Reader) error {
	buffer := make([]byte, chunkHeadBytes+copyBytes+len(lineEnd))
	for {
		count, err := backend.Read(buffer[chunkHeadBytes : chunkHeadBytes+copyBytes])
		if count > 0 {
			if _, failed := caller.Write(frameChunk(buffer, count)); failed != nil {
				return failed
			}
		}
		if err != nil {
			_, failed := io.WriteString(caller, lastChunk+trailer(err)+lineEnd)
			return failed
		}
	}
}

// frameChunk returns the chunk with count bytes of data, which lie in a buffer behind the room for the
// chunk's head.
func frameChunk(buffer []byte, count int) []byte {
	const digits = "0123456789abcdef"
	for place, rest := chunkDigits-1, count; place >= 0; place, rest = place-1, rest>>4 {
		buffer[place] = digits[rest&0xf]
	}
	copy(buffer[chunkDigits:], lineEnd)
	end := chunkHeadBytes + count
	return buffer[:end+copy(buffer[end:], lineEnd)]
}

// trailer returns the trailer that tells why reads from a back end ended.
func trailer(err error) string {
	var ended *endedError
	switch {
	case err == io.EOF:
		return ""
	case errors.As(err, &ended):
		return trailerReceived + strconv.FormatInt(ended.received, 10) + lineEnd
	}
	return trailerReset + lineEnd
}

// framedReader reads what a back end sends from the chunks of the router that relays it. It returns
// io.EOF only if that router tells that the back end ended its side.
type framedReader struct {
	through netip.AddrPort
	source  *bufio.Reader
	chunks  io.Reader
	// end is why reads ended, nil before.
	end error
	// received is the number of bytes that the back end has received, -1 if the router did not tell.
	received int64
}

func newFramedReader(source *bufio.Reader, through netip.AddrPort) *framedReader {
	return &framedReader{through: through, source: source, chunks: httputil.NewChunkedReader(source), received: -1}
}

// Received implements exchange.Receipt.
func (r *framedReader) Received() (int64, bool) { return r.received, r.received >= 0 }

// Read implements io.Reader.
func (r *framedReader) Read(buffer []byte) (int, error) {
	if r.end != nil {
		return 0, r.end
	}
	count, err := r.chunks.Read(buffer)
	switch {
	case err == io.EOF:
		r.end = r.readTrailer()
	case err != nil:
		r.end = r.broken(err)
	}
	return count, r.end
}

// readTrailer reads what follows the last chunk, and returns how the back end ended.
func (r *framedReader) readTrailer() error {
	line, err := r.readLine()
	if err != nil {
		return r.broken(err)
	}
	switch {
	case line == "":
		return io.EOF
	case line == trailerReset:
		return errBackendReset
	case strings.HasPrefix(line, trailerReceived):
		return r.readReceipt(line)
	default:
		return r.broken(errors.Errorf("unknown trailer %.40q", line))
	}
}

// readReceipt takes the number of received bytes from a trailer, which must be the last one.
func (r *framedReader) readReceipt(line string) error {
	received, err := strconv.ParseUint(strings.TrimPrefix(line, trailerReceived), 10, 63)
	if err != nil {
		return r.broken(errors.Wrap(err, "read a trailer"))
	}
	last, err := r.readLine()
	if err != nil {
		return r.broken(err)
	}
	if last != "" {
		return r.broken(errors.Errorf("unknown trailer %.40q", last))
	}
	r.received = int64(received)
	return io.EOF
}

// readLine reads a line, which must fit the buffer of the source.
func (r *framedReader) readLine() (string, error) {
	line, err := r.source.ReadSlice('\n')
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimSuffix(string(line), lineEnd), err
}

// broken returns the error of a router that did not tell how its back end ended.
func (r *framedReader) broken(err error) error {
	return &exchange.RelayError{Through: r.through, Cause: err}
}

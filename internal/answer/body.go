package answer

import (
	"bufio"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes bounds the fields after the last chunk, which are dropped.
const maxTrailerBytes = 2 << 10

// NewBody returns the body of an answer whose head was read before. It returns io.EOF at the end that the head tells,
// and io.ErrUnexpectedEOF or a *MalformedError before. The end of an unframed body is that of the reader.
func NewBody(head *Head, reader *bufio.Reader) io.Reader {
	switch {
	case head.Chunked:
		return &chunkedBody{source: reader, chunks: httputil.NewChunkedReader(reader)}
	case head.Length >= 0:
		return &lengthBody{source: reader, left: head.Length}
	}
	return reader
}

// lengthBody is a body of a known length.
type lengthBody struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(buffer []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > b.left {
		buffer = buffer[:b.left]
	}
	count, err := b.source.Read(buffer)
	b.left -= int64(count)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && b.left == 0 {
		err = io.EOF
	}
	return count, err
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	// end is why reads ended, nil before.
	end error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	count, err := b.chunks.Read(buffer)
	if err == io.EOF {
		err = b.readTrailer()
	}
	b.end = err
	return count, err
}

// readTrailer reads what follows the last chunk, and returns io.EOF if that is a trailer.
func (b *chunkedBody) readTrailer() error {
	scanned := scanner{state: atFieldStart}
	for read := 0; scanned.state != ended; read++ {
		char, err := b.source.ReadByte()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if read == maxTrailerBytes || scanned.next(char) != nil {
			return malformed(CauseTrailer)
		}
	}
	return io.EOF
}

package answer_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/answer"
)

// read reads an answer to a request with a method, and its body.
func read(text, method string) (*answer.Head, string, error) {
	reader := bufio.NewReader(strings.NewReader(text))
	head, err := answer.ReadHead(reader, method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(answer.NewBody(head, reader))
	return head, string(body), err
}

const okLine = "HTTP/1.1 200 OK\r\n"

// What is no answer by the grammar must be rejected at its first bad byte, though the rest never comes.
func TestMalformedAnswersAreRejected(t *testing.T) {
	tests := []struct {
		name, sent string
		cause      answer.Cause
	}{
		{"no HTTP", "g", answer.CauseVersion},
		{"empty line first", "\r", answer.CauseVersion},
		{"version 2.0", "HTTP/2", answer.CauseVersion},
		{"version 1.2", "HTTP/1.2", answer.CauseVersion},
		{"no minor version", "HTTP/1 ", answer.CauseVersion},
		{"tab before the status", "HTTP/1.1\t", answer.CauseVersion},
		{"two blanks", "HTTP/1.1  ", answer.CauseStatus},
		{"status 000", "HTTP/1.1 0", answer.CauseStatus},
		{"status 099", "HTTP/1.1 0", answer.CauseStatus},
		{"status 101", "HTTP/1.1 101", answer.CauseStatus},
		{"status 600", "HTTP/1.1 6", answer.CauseStatus},
		{"status 999", "HTTP/1.1 9", answer.CauseStatus},
		{"status 20", "HTTP/1.1 20 ", answer.CauseStatus},
		{"status 2000", "HTTP/1.1 2000", answer.CauseStatus},
		{"status +20", "HTTP/1.1 +", answer.CauseStatus},
		{"no status", "HTTP/1.1 \r", answer.CauseStatus},
		{"control character in the reason", "HTTP/1.1 200 O\x00", answer.CauseStatus},
		{"bare line feed after the status", "HTTP/1.1 200 OK\n", answer.CauseStatus},
		{"bare line feed after a value", okLine + "Name: a\n", answer.CauseValue},
		{"bare carriage return", okLine + "Name: a\rb", answer.CauseLineEnd},
		{"bare carriage return at the end", okLine + "Name: a\r\n\rb", answer.CauseLineEnd},
		{"blank in a name", okLine + "Na ", answer.CauseName},
		{"blank at the end of a name", okLine + "Content-Length ", answer.CauseName},
		{"blank before a name", okLine + " ", answer.CauseName},
		{"line that continues a value", okLine + "Name: a\r\n\t", answer.CauseName},
		{"tab in a name", okLine + "Na\t", answer.CauseName},
		{"control character in a name", okLine + "Na\x01", answer.CauseName},
		{"delete character in a name", okLine + "Na\x7f", answer.CauseName},
		{"byte above ASCII in a name", okLine + "Na\xe4", answer.CauseName},
		{"empty name", okLine + ":", answer.CauseName},
		{"no colon", okLine + "Name\r", answer.CauseName},
		{"blank in a name of an informational answer", "HTTP/1.1 103 Early\r\nNa ", answer.CauseName},
		{"control character in a value", okLine + "Name: \x00", answer.CauseValue},
		{"delete character in a value", okLine + "Name: \x7f", answer.CauseValue},
		{"several lengths", okLine + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", answer.CauseFraming},
		{"list of lengths", okLine + "Content-Length: 4, 4\r\n\r\n", answer.CauseFraming},
		{"length +5", okLine + "Content-Length: +5\r\n\r\n", answer.CauseFraming},
		{"length -5", okLine + "Content-Length: -5\r\n\r\n", answer.CauseFraming},
		{"empty length", okLine + "Content-Length:\r\n\r\n", answer.CauseFraming},
		{"length above the largest", okLine + "Content-Length: 9223372036854775808\r\n\r\n", answer.CauseFraming},
		{"length and chunks", okLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", answer.CauseFraming},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", answer.CauseFraming},
		{"another coding", okLine + "Transfer-Encoding: gzip\r\n\r\n", answer.CauseFraming},
		{"two codings", okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n", answer.CauseFraming},
		{"chunked twice", okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", answer.CauseFraming},
		{"blank in the name of a trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nNa ", answer.CauseTrailer},
		{"long trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nName: " + strings.Repeat("x", 4<<10), answer.CauseTrailer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := read(tt.sent, http.MethodGet)
			var malformed *answer.MalformedError
			is.True(errors.As(err, &malformed))
			is.Equal(malformed.Cause, tt.cause)
		})
	}
}

// Answers that the grammar allows must be read as they were meant.
func TestSoundAnswersAreRead(t *testing.T) {
	everyNameChar := "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
	tests := []struct {
		name, method, sent string
		status             int
		length             int64
		body               string
	}{
		{"length", http.MethodGet, okLine + "Content-Length: 4\r\n\r\nbody more", 200, 4, "body"},
		{"no reason", http.MethodGet, "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody", 200, 4, "body"},
		{"empty reason", http.MethodGet, "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", 200, 4, "body"},
		{"reason above ASCII", http.MethodGet, "HTTP/1.1 299 Gr\xfc\xdfe\t!\r\nContent-Length: 0\r\n\r\n", 299, 0, ""},
		{"status 599", http.MethodGet, "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", 599, 0, ""},
		{"informational", http.MethodGet, "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n", 103, 0, ""},
		{"chunks", http.MethodGet, okLine + "transfer-encoding: Chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nName: x\r\n\r\nmore", 200, -1, "body"},
		{"end of the connection", http.MethodGet, okLine + "\r\nbody", 200, -1, "body"},
		{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nbody", 200, -1, "body"},
		{"the same length twice", http.MethodGet, okLine + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 200, 4, "body"},
		{"HEAD", http.MethodHead, okLine + "Content-Length: 4\r\n\r\n", 200, 0, ""},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", 204, 0, ""},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", 304, 0, ""},
		{"every character of a name", http.MethodGet, okLine + everyNameChar + ": x\r\nContent-Length: 0\r\n\r\n", 200, 0, ""},
		{"values", http.MethodGet, okLine + "Empty:\r\nBlank: \t \r\nUmlaut: \xe4 b\tc \r\nContent-Length: 0\r\n\r\n", 200, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			head, body, err := read(tt.sent, tt.method)
			is.NoErr(err)
			is.Equal(head.Status, tt.status)
			is.Equal(head.Length, tt.length)
			is.Equal(body, tt.body)
		})
	}
}

func TestFieldsAreRead(t *testing.T) {
	is := is.New(t)
	head, _, err := read("HTTP/1.1 200 OK\r\nname:  a b \t\r\nNAME: c\r\nEmpty:\r\nConnection: Keep-Alive, Close\r\nTrailer: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.MethodGet)
	is.NoErr(err)
	is.Equal(head.Header, http.Header{"Name": {"a b", "c"}, "Empty": {""}, "Connection": {"Keep-Alive, Close"}})
	is.True(head.Close)
	is.True(head.Chunked)
	head, _, err = read("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", http.MethodGet)
	is.NoErr(err)
	is.True(!head.Close)
}

// An answer that ends early must not look whole.
func TestAnswersThatEndEarlyAreErrors(t *testing.T) {
	whole := []string{
		okLine + "Content-Length: 4\r\n\r\nbody",
		okLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nName: x\r\n\r\n",
	}
	for _, text := range whole {
		for length := range len(text) {
			is := is.New(t)
			_, _, err := read(text[:length], http.MethodGet)
			want := io.ErrUnexpectedEOF
			if length == 0 {
				want = io.EOF
			}
			is.Equal(err, want)
		}
	}
}

// net/http has read these answers, and tells enough of them.
func TestAnswersOfTheTransportAreChecked(t *testing.T) {
	sound := func() *http.Response {
		return &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Name": {"x"}}}
	}
	is := is.New(t)
	is.NoErr(answer.Check(sound()))
	for _, change := range []func(*http.Response){
		func(rsp *http.Response) { rsp.StatusCode = 0 },
		func(rsp *http.Response) { rsp.StatusCode = 101 },
		func(rsp *http.Response) { rsp.StatusCode = 600 },
		func(rsp *http.Response) { rsp.ProtoMajor = 2 },
		func(rsp *http.Response) { rsp.ProtoMinor = 9 },
		func(rsp *http.Response) { rsp.Header["Content-Length "] = []string{"5"} },
		func(rsp *http.Response) { rsp.Header["Na me"] = []string{"x"} },
	} {
		rsp := sound()
		change(rsp)
		var malformed *answer.MalformedError
		is.True(errors.As(answer.Check(rsp), &malformed))
	}
}

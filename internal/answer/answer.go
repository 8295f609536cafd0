// Package answer reads answers of HTTP/1 by the grammar of RFC 9112, and accepts nothing else.
//
// http.ReadResponse accepts any number as the status, any version, blanks in the names of fields, and lines that
// end or go on in several ways. Recipients may read such an answer in different ways, so that what one takes for a
// body is a head to another.
package answer

import (
	"net/http"
	"strings"
)

// Head is the status line and the header of an answer.
type Head struct {
	Status int
	// Header has the fields but Transfer-Encoding and Trailer.
	Header http.Header
	// Length is the length of the body in bytes, 0 if the answer can't have one, or -1 if it is unknown.
	Length int64
	// Chunked is whether the body is in chunks.
	Chunked bool
	// Close is whether the peer closes the connection after the answer.
	Close bool
}

// IsInterim reports whether another answer to the same request follows.
func (h *Head) IsInterim() bool { return h.Status < http.StatusOK }

// Unframed reports whether the body ends with the connection.
func (h *Head) Unframed() bool { return h.Length < 0 && !h.Chunked }

// Check returns an error if an answer that net/http has read is not one by the grammar, as far as that can still
// be told.
func Check(rsp *http.Response) error {
	if rsp.ProtoMajor != 1 || rsp.ProtoMinor > 1 {
		return malformed(CauseVersion)
	}
	if rsp.StatusCode < http.StatusOK || checkStatus(rsp.StatusCode) != nil {
		return malformed(CauseStatus)
	}
	for name := range rsp.Header {
		if !isToken(name) {
			return malformed(CauseName)
		}
	}
	return nil
}

// checkStatus returns an error for a status that no answer has here.
func checkStatus(status int) error {
	if !isClass(status/100) || status == http.StatusSwitchingProtocols {
		return malformed(CauseStatus)
	}
	return nil
}

// isClass reports whether a digit is the first one of a status.
func isClass(digit int) bool { return digit >= 1 && digit <= 5 }

func isToken(name string) bool {
	for index := range len(name) {
		if !isNameChar[name[index]] {
			return false
		}
	}
	return name != ""
}

// hasToken reports whether one of the comma-separated lists in values has a token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for element := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.Trim(element, " \t"), token) {
				return true
			}
		}
	}
	return false
}

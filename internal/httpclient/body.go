package httpclient

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrBodyTooLarge is returned for a body above the size limit.
var ErrBodyTooLarge = errors.New("response body above its size limit")

// ReadBody reads the whole body of a response, at most limit bytes, and closes it.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}

// RetryAfter returns the value of a Retry-After header in seconds, fractions
// allowed, or fallback if it is missing, invalid or above one hour.
func RetryAfter(header http.Header, fallback time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > time.Hour.Seconds() {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}

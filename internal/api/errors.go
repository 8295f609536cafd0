package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// ErrorBody is the JSON of every error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the error, whether the request ran, and a remedy.
type ErrorDetail struct {
	Kind             fault.Kind `json:"kind"`
	Message          string     `json:"message"`
	Remedy           string     `json:"remedy"`
	Ran              fault.Ran  `json:"ran"`
	RetryAfterMillis int64      `json:"retry_after_millis"`
}

// errorBody renders a fault without its cause, which may contain addresses.
func (s *Server) errorBody(failure *fault.Fault) ErrorBody {
	ran := failure.Ran
	if ran == "" {
		ran = fault.RanUnknown
	}
	return ErrorBody{Error: ErrorDetail{
		Kind:             failure.Kind,
		Message:          failure.Detail,
		Remedy:           failure.EffectiveRemedy(),
		Ran:              ran,
		RetryAfterMillis: s.retryAfter(failure).Milliseconds(),
	}}
}

// retryAfter returns the time until a retry; temporary faults always have one.
func (s *Server) retryAfter(failure *fault.Fault) time.Duration {
	if failure.RetryAfter > 0 {
		return failure.RetryAfter
	}
	switch failure.Kind.Status() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway:
		return s.config.RetryAfter
	}
	return 0
}

// reportFault passes a fault to OnFault, unless the caller has disconnected: a
// request cancelled for that reason was not refused.
func (s *Server) reportFault(caller context.Context, failure *fault.Fault) {
	if caller.Err() == nil {
		s.config.OnFault(failure)
	}
}

func (s *Server) writeFault(writer http.ResponseWriter, request *http.Request, failure *fault.Fault) {
	if after := s.retryAfter(failure); after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.reportFault(request.Context(), failure)
	writeJSON(writer, failure.Kind.Status(), s.errorBody(failure))
}

// writeJSON writes a whole response and ignores write errors: the caller has
// disconnected.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	var encoded bytes.Buffer
	if err := json.NewEncoder(&encoded).Encode(body); err != nil {
		status = http.StatusInternalServerError
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(encoded.Len()))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded.Bytes())
}

// bearerKey returns the bearer key if there is exactly one Authorization header.
func bearerKey(values []string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, found && strings.EqualFold(scheme, "Bearer") && key != ""
}

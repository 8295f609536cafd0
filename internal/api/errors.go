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

// ErrorDetail says what went wrong, what ran, and what to do.
type ErrorDetail struct {
	Kind             fault.Kind `json:"kind"`
	Message          string     `json:"message"`
	Remedy           string     `json:"remedy"`
	Ran              fault.Ran  `json:"ran"`
	RetryAfterMillis int64      `json:"retry_after_millis"`
}

// errorBody renders a fault. The cause stays inside: it may hold addresses.
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

// retryAfter returns when to come back; faults that pass by themselves always
// state a time.
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

// reportFault reports a fault that a caller is answered with. One who has left is not
// answered: what was cut short for that is no refusal.
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

// writeJSON writes a whole answer. A caller that left is no error of ours.
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

// bearerKey returns the key of the one Authorization header.
func bearerKey(values []string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, found && strings.EqualFold(scheme, "Bearer") && key != ""
}

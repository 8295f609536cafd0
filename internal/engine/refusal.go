package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// refusalFault returns the fault of an explicit refusal before execution, and
// whether the response is one. Status, header and body must agree, so that a 503
// from a proxy or a faulty back end never counts as "not run".
func refusalFault(response *http.Response, body []byte) (*fault.Fault, bool) {
	switch response.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		return nil, false
	}
	if response.Header.Get(protocol.HeaderRan) != string(fault.RanNo) {
		return nil, false
	}
	var refusal protocol.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Kind == "" || refusal.Ran != fault.RanNo {
		return nil, false
	}
	kind := fault.BackendRefused
	if refusal.Kind == protocol.RefusalStaleFence {
		kind = fault.StaleFence
	}
	refused := fault.Wrap(&RefusedError{Refusal: refusal}, kind, "back end refused before execution (%s)", refusal.Kind)
	return refused.WithRetryAfter(time.Duration(max(refusal.RetryAfterMillis, 0)) * time.Millisecond), true
}

// isRefusal returns whether a fault is a refusal of the given kind.
func isRefusal(refused *fault.Fault, kind protocol.RefusalKind) bool {
	var cause *RefusedError
	return errors.As(refused, &cause) && cause.Refusal.Kind == kind
}

package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// callApplication sends one application request and retries it with the same
// key while its outcome is unknown.
func (c *caller) callApplication(ctx context.Context, planned time.Time, result *Result) {
	for attempt := range c.config.MaxAttempts {
		if attempt > 0 {
			result.Retries++
		}
		refused, err := c.sendApplication(ctx, attempt, result)
		switch {
		case err != nil:
			// This attempt may have run, so an earlier refusal no longer decides.
			result.Outcome, result.Detail = OutcomeLost, "the connection failed"
			if !c.recordBreak(ctx, result) {
				return
			}
		case refused == nil:
			result.Outcome, result.Detail = OutcomeAnswered, ""
			result.FirstToken = time.Since(planned)
			return
		case refused.Kind == fault.AlreadyClaimed && refused.RetryAfterMillis > 0:
			refused.status = http.StatusServiceUnavailable
			fallthrough
		default:
			if !c.recordRefusal(ctx, *refused, result) {
				return
			}
		}
	}
}

// sendApplication makes one attempt. It returns a router's refusal, an error
// if the response is incomplete, or neither on success.
func (c *caller) sendApplication(ctx context.Context, attempt int, result *Result) (*refusal, error) {
	arrival := result.Arrival
	url := c.target(arrival, attempt) + "/v1/services/" + string(arrival.Service) + arrival.Path
	request, err := http.NewRequestWithContext(ctx, arrival.Method, url, strings.NewReader(arrival.Body))
	if err != nil {
		return nil, errors.Wrap(err, "building an application request")
	}
	c.setHeaders(request, arrival)
	// Otherwise net/http itself retries a request with an Idempotency-Key when
	// a reused connection fails, and that attempt is not counted.
	request.GetBody = nil
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "sending an application request")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		refused := readRefusal(response)
		return &refused, nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	return nil, errors.Wrap(err, "reading an application response")
}

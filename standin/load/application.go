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

// callApplication sends one application request, again with the same key as
// long as its fate is open.
func (c *caller) callApplication(ctx context.Context, planned time.Time, result *Result) {
	for attempt := range c.config.MaxAttempts {
		if attempt > 0 {
			result.Retries++
		}
		refused, err := c.sendApplication(ctx, attempt, result)
		switch {
		case err != nil:
			// No final word: whatever an earlier attempt was told is open again.
			result.Outcome, result.Detail = OutcomeLost, "the connection broke"
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

// sendApplication makes one attempt. It returns a refusal that the router
// stated, an error if no whole answer came, or neither for an answer.
func (c *caller) sendApplication(ctx context.Context, attempt int, result *Result) (*refusal, error) {
	arrival := result.Arrival
	url := c.target(arrival, attempt) + "/v1/services/" + string(arrival.Service) + arrival.Path
	request, err := http.NewRequestWithContext(ctx, arrival.Method, url, strings.NewReader(arrival.Body))
	if err != nil {
		return nil, errors.Wrap(err, "building an application request")
	}
	c.setHeaders(request, arrival)
	// Without this net/http sends a request with an Idempotency-Key again by
	// itself when a reused connection breaks, and that attempt is not counted.
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
	return nil, errors.Wrap(err, "reading an application answer")
}

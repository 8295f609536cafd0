package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/standin/workload"
)

// stream is the received part of one answer.
type stream struct {
	text         strings.Builder
	lastID       string
	finishReason string
	usage        *usage
	done         bool
	firstText    time.Time
}

// restart discards the answer so far, except the time of its first text.
func (s *stream) restart() { *s = stream{firstText: s.firstText} }

// exchangeResult is the end of one exchange of a model request: refused is a
// refusal or an error event, disconnected a failed connection; neither means a
// complete stream.
type exchangeResult struct {
	refused *refusal
	// inStream is whether refused was received as an event of the stream.
	inStream     bool
	disconnected bool
	corrupt      string
}

// callModel sends one model request and reads its stream to the end, resuming
// it at another router when a connection fails.
func (c *caller) callModel(ctx context.Context, planned time.Time, result *Result) {
	answer := &stream{}
	for attempt := range c.config.MaxAttempts {
		resuming := answer.lastID != ""
		if attempt > 0 {
			countAttempt(result, resuming)
		}
		ended := c.exchange(ctx, attempt, result.Arrival, answer)
		if ended.corrupt != "" {
			result.Outcome, result.Detail = OutcomeCorrupt, ended.corrupt
			return
		}
		if ended.refused == nil && !ended.disconnected {
			c.checkStream(answer, planned, result)
			return
		}
		if !c.recordFailedExchange(ctx, ended, resuming, answer, result) {
			return
		}
	}
}

func countAttempt(result *Result, resuming bool) {
	if resuming {
		result.Resumes++
		return
	}
	result.Retries++
}

// recordFailedExchange records an incomplete exchange, waits, and reports
// whether to try again.
func (c *caller) recordFailedExchange(ctx context.Context, ended exchangeResult, resuming bool, answer *stream, result *Result) bool {
	if ended.disconnected {
		result.Outcome, result.Detail = OutcomeLost, "the stream was interrupted"
		if answer.lastID == "" && answer.text.Len() > 0 {
			answer.restart()
			result.Restarts++
		}
		return c.recordBreak(ctx, result)
	}
	refused := *ended.refused
	if ended.inStream || (resuming && !resumeRetryable(refused)) {
		// The stream cannot be resumed, but a model request is safe to retry.
		answer.restart()
		result.Restarts++
		refused.status = http.StatusServiceUnavailable
	}
	retry := c.recordRefusal(ctx, refused, result)
	if ended.inStream || resuming {
		result.Outcome, result.Detail = OutcomeLost, "the stream ended with error "+string(refused.Kind)
	}
	return retry
}

// resumeRetryable reports whether the same resume may succeed at another router.
func resumeRetryable(refused refusal) bool {
	return refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests
}

// exchange opens or resumes the stream and reads it until it ends or fails.
func (c *caller) exchange(ctx context.Context, attempt int, arrival workload.Arrival, answer *stream) exchangeResult {
	request, err := c.modelRequest(ctx, c.target(arrival, attempt), arrival, answer.lastID)
	if err != nil {
		return exchangeResult{corrupt: err.Error()}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return exchangeResult{disconnected: true}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refused := readRefusal(response)
		return exchangeResult{refused: &refused}
	}
	events := newEventReader(response.Body)
	for !answer.done {
		next, err := events.next()
		if err != nil {
			return exchangeResult{disconnected: true}
		}
		if next.name == "error" {
			refused := parseRefusal([]byte(next.data))
			return exchangeResult{refused: &refused, inStream: true}
		}
		if err := answer.apply(next); err != nil {
			return exchangeResult{corrupt: err.Error()}
		}
	}
	return exchangeResult{}
}

func (c *caller) modelRequest(ctx context.Context, target string, arrival workload.Arrival, lastID string) (*http.Request, error) {
	if lastID != "" {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/v1/streams", nil)
		if err != nil {
			return nil, errors.Wrap(err, "building a resume request")
		}
		c.setHeaders(request, arrival)
		request.Header.Set("Last-Event-ID", lastID)
		return request, nil
	}
	body := generateBody{Model: string(arrival.Service), Stream: true, MaxTokens: arrival.MaxTokens}
	path := "/v1/chat/completions"
	if body.Messages = arrival.Messages; len(arrival.Messages) == 0 {
		path, body.Prompt = "/v1/completions", arrival.Prompt
	}
	content, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a model request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrap(err, "building a model request")
	}
	c.setHeaders(request, arrival)
	return request, nil
}

// apply adds an event to the answer.
func (s *stream) apply(next event) error {
	if next.data == doneData {
		s.done = true
		return nil
	}
	if next.data == "" {
		return nil
	}
	var part chunk
	if err := json.Unmarshal([]byte(next.data), &part); err != nil {
		return errors.Wrap(err, "decoding a chunk")
	}
	if next.id != "" {
		s.lastID = next.id
	}
	if part.Usage != nil {
		s.usage = part.Usage
	}
	for _, choice := range part.Choices {
		text := choice.Delta.Content + choice.Text
		if text != "" && s.finishReason != "" {
			return errors.New("text after the finish reason")
		}
		if text != "" && s.firstText.IsZero() {
			s.firstText = time.Now()
		}
		s.text.WriteString(text)
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
	return nil
}

// checkStream sets the result of a closed stream: answered or corrupt.
func (c *caller) checkStream(answer *stream, planned time.Time, result *Result) {
	result.Outcome = OutcomeCorrupt
	switch {
	case answer.finishReason == "":
		result.Detail = "stream closed without a finish reason"
		return
	case answer.usage == nil:
		result.Detail = "stream closed without usage"
		return
	case c.config.ExpectedText != nil:
		if answer.text.String() != c.config.ExpectedText(result.Arrival.Prompt, result.Arrival.MaxTokens) {
			result.Detail = "the text differs from the expected answer to this prompt"
			return
		}
	}
	result.Outcome, result.Detail = OutcomeAnswered, ""
	result.FirstToken = answer.firstText.Sub(planned)
	result.PromptTokens = answer.usage.PromptTokens
	result.CachedTokens = answer.usage.PromptTokensDetails.CachedTokens
	result.CompletionTokens = answer.usage.CompletionTokens
}

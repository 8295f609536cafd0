package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/internal/api"
	"github.com/fieldpond/fieldpond/internal/sse"
)

const (
	// doneData is the end marker of a complete stream.
	doneData = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// resumePause is the wait before a stream is resumed or a request retried.
	resumePause = 50 * time.Millisecond
)

// ModelRequest is one model request.
type ModelRequest struct {
	Prompt    string
	MaxTokens int
	// OnText is called after each event with the number of bytes of text so
	// far. It may block, as a slow reader does.
	OnText func(bytes int)
}

// Stream sends one model request and reads its stream until it ends or breaks.
func (c *Caller) Stream(ctx context.Context, router string, modelRequest ModelRequest) Outcome {
	body, err := json.Marshal(map[string]any{
		"model": Assistant, "prompt": modelRequest.Prompt, "max_tokens": modelRequest.MaxTokens, "stream": true,
	})
	if err != nil {
		return Outcome{Broken: true}
	}
	return c.read(ctx, http.MethodPost, router, "/v1/completions", string(body), modelRequest, Outcome{})
}

// Complete sends one model request without streaming.
func (c *Caller) Complete(ctx context.Context, router string, modelRequest ModelRequest) Outcome {
	outcome := Outcome{Began: time.Now(), Router: router, Tenant: c.Tenant}
	defer c.record(&outcome)
	body, err := json.Marshal(map[string]any{"model": Assistant, "prompt": modelRequest.Prompt, "max_tokens": modelRequest.MaxTokens})
	if err != nil {
		outcome.Broken = true
		return outcome
	}
	content, ok := c.exchange(ctx, &outcome, http.MethodPost, router+"/v1/completions", string(body), "")
	if !ok {
		return outcome
	}
	var answer api.Answer
	if json.Unmarshal(content, &answer) != nil || len(answer.Choices) != 1 || !outcome.applyChoice(answer.Choices[0]) {
		outcome.Broken = true
		return outcome
	}
	outcome.Usage, outcome.Done = answer.Usage, true
	return outcome
}

// Resume resumes a broken stream at any router, after its last event.
func (c *Caller) Resume(ctx context.Context, router string, modelRequest ModelRequest, before Outcome) Outcome {
	return c.read(ctx, http.MethodGet, router, "/v1/streams", "", modelRequest, before)
}

// StreamWithRetries sends the request to the first router and resumes or retries
// it at the next ones until the answer is complete, a refusal is final, or no
// attempts are left.
func (c *Caller) StreamWithRetries(ctx context.Context, routers []string, modelRequest ModelRequest, attempts int) Outcome {
	var outcome Outcome
	for attempt := range attempts {
		router := routers[attempt%len(routers)]
		if outcome.LastID == "" {
			outcome = c.Stream(ctx, router, modelRequest)
		} else {
			outcome = c.Resume(ctx, router, modelRequest, outcome)
		}
		refusedAtFirst := outcome.Refusal != nil && outcome.Text == "" && outcome.Refusal.RetryAfterMillis > 0
		if !outcome.Broken && !refusedAtFirst {
			return outcome
		}
		time.Sleep(resumePause)
	}
	return outcome
}

// read makes one exchange of a stream; before is the outcome of the previous one.
func (c *Caller) read(ctx context.Context, method, router, path, body string, modelRequest ModelRequest, before Outcome) Outcome {
	outcome := Outcome{Began: time.Now(), Router: router, Tenant: c.Tenant, Text: before.Text, LastID: before.LastID}
	defer c.record(&outcome)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := c.request(ctx, method, router+path, body)
	if err != nil {
		outcome.Broken = true
		return outcome
	}
	if before.LastID != "" {
		request.Header.Set("Last-Event-ID", before.LastID)
	}
	response, err := c.client.Do(request)
	if err != nil {
		outcome.Broken, outcome.Unsent = true, isDialError(err)
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome.readHeader(response)
	if response.StatusCode != http.StatusOK {
		var content bytes.Buffer
		_, _ = content.ReadFrom(response.Body)
		outcome.readRefusal(content.Bytes())
		return outcome
	}
	events := sse.NewReader(response.Body, maxEventBytes)
	for !outcome.Done && outcome.Refusal == nil {
		event, err := events.Next()
		if err != nil || !outcome.applyEvent(event) {
			outcome.Broken = true
			return outcome
		}
		if modelRequest.OnText != nil {
			modelRequest.OnText(len(outcome.Text))
		}
	}
	return outcome
}

// applyEvent adds one event; it returns false if it cannot be decoded.
func (o *Outcome) applyEvent(event sse.Event) bool {
	if event.Name == "error" {
		o.readRefusal(event.Data)
		return true
	}
	if string(event.Data) == doneData {
		o.Done = true
		return true
	}
	var part api.Answer
	if json.Unmarshal(event.Data, &part) != nil || len(part.Choices) != 1 {
		return false
	}
	if event.ID != "" {
		o.LastID = event.ID
	}
	if part.Usage != nil {
		o.Usage = part.Usage
	}
	return o.applyChoice(part.Choices[0])
}

// applyChoice adds the text of a choice; it returns false if it has none.
func (o *Outcome) applyChoice(choice api.Choice) bool {
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		o.Finish = *choice.FinishReason
	}
	if choice.Text == nil {
		return false
	}
	o.Text += *choice.Text
	return true
}

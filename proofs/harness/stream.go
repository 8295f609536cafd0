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
	// doneData is the end marker of a whole stream.
	doneData = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// resumePause is waited before a stream is resumed or a request repeated.
	resumePause = 50 * time.Millisecond
)

// Ask is one model request.
type Ask struct {
	Prompt    string
	MaxTokens int
	// OnText is called after each event with the number of bytes of text so
	// far. It may block: a slow reader does.
	OnText func(bytes int)
}

// Stream sends one model request and reads its stream as far as it goes.
func (c *Caller) Stream(ctx context.Context, router string, ask Ask) Told {
	body, err := json.Marshal(map[string]any{
		"model": Assistant, "prompt": ask.Prompt, "max_tokens": ask.MaxTokens, "stream": true,
	})
	if err != nil {
		return Told{Broken: true}
	}
	return c.read(ctx, http.MethodPost, router, "/v1/completions", string(body), ask, Told{})
}

// Whole sends one model request that asks for its answer in one piece.
func (c *Caller) Whole(ctx context.Context, router string, ask Ask) Told {
	told := Told{Began: time.Now(), Router: router, Tenant: c.Tenant}
	defer c.note(&told)
	body, err := json.Marshal(map[string]any{"model": Assistant, "prompt": ask.Prompt, "max_tokens": ask.MaxTokens})
	if err != nil {
		told.Broken = true
		return told
	}
	content, ok := c.exchange(ctx, &told, http.MethodPost, router+"/v1/completions", string(body), "")
	if !ok {
		return told
	}
	var answer api.Answer
	if json.Unmarshal(content, &answer) != nil || len(answer.Choices) != 1 || !told.takeChoice(answer.Choices[0]) {
		told.Broken = true
		return told
	}
	told.Usage, told.Done = answer.Usage, true
	return told
}

// Continue resumes a stream that broke, at any router, from its last event.
func (c *Caller) Continue(ctx context.Context, router string, ask Ask, before Told) Told {
	return c.read(ctx, http.MethodGet, router, "/v1/streams", "", ask, before)
}

// AskAll acts as a proper client: it sends the request to the first router, and
// resumes or repeats it at the next ones until it has the whole answer, a
// stated fault that ends the stream, or made all the tries.
func (c *Caller) AskAll(ctx context.Context, routers []string, ask Ask, tries int) Told {
	var told Told
	for try := range tries {
		router := routers[try%len(routers)]
		if told.LastID == "" {
			told = c.Stream(ctx, router, ask)
		} else {
			told = c.Continue(ctx, router, ask, told)
		}
		refusedAtFirst := told.Refusal != nil && told.Text == "" && told.Refusal.RetryAfterMillis > 0
		if !told.Broken && !refusedAtFirst {
			return told
		}
		time.Sleep(resumePause)
	}
	return told
}

// read makes one exchange; before is what earlier ones brought of the stream.
func (c *Caller) read(ctx context.Context, method, router, path, body string, ask Ask, before Told) Told {
	told := Told{Began: time.Now(), Router: router, Tenant: c.Tenant, Text: before.Text, LastID: before.LastID}
	defer c.note(&told)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := c.request(ctx, method, router+path, body)
	if err != nil {
		told.Broken = true
		return told
	}
	if before.LastID != "" {
		request.Header.Set("Last-Event-ID", before.LastID)
	}
	response, err := c.client.Do(request)
	if err != nil {
		told.Broken, told.Unsent = true, unsent(err)
		return told
	}
	defer func() { _ = response.Body.Close() }()
	told.takeHeader(response)
	if response.StatusCode != http.StatusOK {
		var content bytes.Buffer
		_, _ = content.ReadFrom(response.Body)
		told.takeRefusal(content.Bytes())
		return told
	}
	events := sse.NewReader(response.Body, maxEventBytes)
	for !told.Done && told.Refusal == nil {
		event, err := events.Next()
		if err != nil || !told.take(event) {
			told.Broken = true
			return told
		}
		if ask.OnText != nil {
			ask.OnText(len(told.Text))
		}
	}
	return told
}

// take adds one event; it returns false for one that cannot be understood.
func (t *Told) take(event sse.Event) bool {
	if event.Name == "error" {
		t.takeRefusal(event.Data)
		return true
	}
	if string(event.Data) == doneData {
		t.Done = true
		return true
	}
	var part api.Answer
	if json.Unmarshal(event.Data, &part) != nil || len(part.Choices) != 1 {
		return false
	}
	if event.ID != "" {
		t.LastID = event.ID
	}
	if part.Usage != nil {
		t.Usage = part.Usage
	}
	return t.takeChoice(part.Choices[0])
}

// takeChoice adds the text of a choice; it returns false if it has none.
func (t *Told) takeChoice(choice api.Choice) bool {
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		t.Finish = *choice.FinishReason
	}
	if choice.Text == nil {
		return false
	}
	t.Text += *choice.Text
	return true
}

package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// doneData marks the end of a complete stream.
const doneData = "[DONE]"

// maxErrorBody limits an error response, in bytes.
const maxErrorBody = 64 << 10

type generateBody struct {
	Model     string             `json:"model"`
	Messages  []workload.Message `json:"messages,omitempty"`
	Prompt    string             `json:"prompt,omitempty"`
	Stream    bool               `json:"stream"`
	MaxTokens int                `json:"max_tokens"`
}

// chunk is the data of one event of a chat or completion stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// refusal is an error that a router sent in a response or a stream.
type refusal struct {
	status           int
	Kind             fault.Kind `json:"kind"`
	Message          string     `json:"message"`
	Ran              fault.Ran  `json:"ran"`
	RetryAfterMillis int64      `json:"retry_after_millis"`
}

type errorBody struct {
	Error refusal `json:"error"`
}

// readRefusal reads a router's error response. Without an error kind in its
// body, the kind is "http_<status>" and execution is unknown.
func readRefusal(response *http.Response) refusal {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	refused := parseRefusal(content)
	refused.status = response.StatusCode
	if refused.Kind == "" {
		refused.Kind = fault.Kind("http_" + strconv.Itoa(response.StatusCode))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && refused.RetryAfterMillis == 0 {
		refused.RetryAfterMillis = int64(seconds) * int64(time.Second/time.Millisecond)
	}
	return refused
}

func parseRefusal(content []byte) refusal {
	var body errorBody
	if err := json.Unmarshal(content, &body); err != nil {
		body = errorBody{}
	}
	if body.Error.Ran == "" {
		body.Error.Ran = fault.RanUnknown
	}
	return body.Error
}

// retryable returns whether a client should retry the request.
func (r refusal) retryable() bool {
	return r.status >= http.StatusInternalServerError || r.status == http.StatusTooManyRequests
}

// outcome returns the request's outcome if the refusal is its last response.
func (r refusal) outcome() Outcome {
	switch r.Ran {
	case fault.RanNo:
		return OutcomeRefused
	case fault.RanYes:
		return OutcomeFailed
	default:
		return OutcomeUnknown
	}
}

// retryDelay returns the wait before the next attempt: none after a router that
// is shutting down.
func (r refusal) retryDelay(longest time.Duration) time.Duration {
	if r.Kind == fault.ShuttingDown {
		return 0
	}
	return min(time.Duration(r.RetryAfterMillis)*time.Millisecond, longest)
}

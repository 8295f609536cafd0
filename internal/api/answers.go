package api

import (
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Answer is the JSON of a whole answer, or of one chunk of a stream, as in the
// OpenAI chat and completions API.
type Answer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   ident.Service `json:"model"`
	// SystemFingerprint is the model version that answered.
	SystemFingerprint ident.ModelVersion `json:"system_fingerprint,omitempty"`
	Choices           []Choice           `json:"choices"`
	Usage             *Usage             `json:"usage,omitempty"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index int `json:"index"`
	// Message is set in whole chat answers, Delta in chat chunks, and Text in
	// completions and their chunks.
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message, or a fragment of one.
type Message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails counts the prompt tokens found in the engine's cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

const roleAssistant = "assistant"

func usageOf(usage protocol.Usage) *Usage {
	return &Usage{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: usage.CachedTokens},
	}
}

// answerBuilder builds the JSON of one request's answer.
type answerBuilder struct {
	chat    bool
	request ident.Request
	service ident.Service
	created int64
}

func (b answerBuilder) base(version ident.ModelVersion, object string) Answer {
	id := "cmpl-" + string(b.request)
	if b.chat {
		id = "chatcmpl-" + string(b.request)
	}
	return Answer{ID: id, Object: object, Created: b.created, Model: b.service, SystemFingerprint: version}
}

// complete returns the answer to a request without streaming.
func (b answerBuilder) complete(text string, completion dispatch.Completion) Answer {
	object := "text_completion"
	choice := Choice{FinishReason: &completion.FinishReason}
	if b.chat {
		object = "chat.completion"
		choice.Message = &Message{Role: roleAssistant, Content: &text}
	} else {
		choice.Text = &text
	}
	answer := b.base(completion.Version, object)
	answer.Choices = []Choice{choice}
	answer.Usage = usageOf(completion.Usage)
	return answer
}

// chunk returns one chunk of a stream; the first one carries the role.
func (b answerBuilder) chunk(text string, version ident.ModelVersion, withRole bool) Answer {
	object := "text_completion"
	choice := Choice{}
	if b.chat {
		object = "chat.completion.chunk"
		choice.Delta = &Message{Content: &text}
		if withRole {
			choice.Delta.Role = roleAssistant
		}
	} else {
		choice.Text = &text
	}
	answer := b.base(version, object)
	answer.Choices = []Choice{choice}
	return answer
}

// lastChunk returns the chunk with the finish reason and usage.
func (b answerBuilder) lastChunk(completion dispatch.Completion) Answer {
	answer := b.chunk("", completion.Version, false)
	if b.chat {
		answer.Choices[0].Delta = &Message{}
	}
	answer.Choices[0].FinishReason = &completion.FinishReason
	answer.Usage = usageOf(completion.Usage)
	return answer
}

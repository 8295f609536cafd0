package api

import (
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// call is a chat or completions request, understood but not yet checked
// against the fleet file.
type call struct {
	chat      bool
	service   ident.Service
	prompt    string
	maxTokens *int
	stream    bool
}

// maxRoleBytes bounds the role of a message.
const maxRoleBytes = 32

// render joins the messages to the prompt of an engine.
func render(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", fault.New(fault.BadRequest, "messages is empty").WithRemedy("send at least one message")
	}
	var prompt strings.Builder
	for index, message := range messages {
		if !validRole(message.Role) {
			return "", fault.New(fault.BadRequest, "message %d has no usable role", index).
				WithRemedy("send a role of up to %d lower-case letters, such as \"user\"", maxRoleBytes)
		}
		prompt.WriteString("<|" + message.Role + "|>\n" + string(message.Content) + "\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func validRole(role string) bool {
	if role == "" || len(role) > maxRoleBytes {
		return false
	}
	for _, letter := range role {
		if (letter < 'a' || letter > 'z') && letter != '_' {
			return false
		}
	}
	return true
}

func (e *exchange) decodeChat() (call, error) {
	var body chatRequest
	if err := e.decodeBody(&body); err != nil {
		return call{}, err
	}
	prompt, err := render(body.Messages)
	if err != nil {
		return call{}, err
	}
	maxTokens := body.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = body.MaxTokens
	}
	return call{chat: true, service: ident.Service(body.Model), prompt: prompt, maxTokens: maxTokens, stream: body.Stream}, onlyOne(body.N)
}

func (e *exchange) decodeCompletion() (call, error) {
	var body completionRequest
	if err := e.decodeBody(&body); err != nil {
		return call{}, err
	}
	if body.Prompt == "" {
		return call{}, fault.New(fault.BadRequest, "prompt is empty").WithRemedy("send a prompt")
	}
	return call{service: ident.Service(body.Model), prompt: string(body.Prompt), maxTokens: body.MaxTokens, stream: body.Stream}, onlyOne(body.N)
}

func onlyOne(n *int) error {
	if n != nil && *n != 1 {
		return fault.New(fault.BadRequest, "n is %d", *n).WithRemedy("send one request for each answer, with n left out")
	}
	return nil
}

// job checks a call against the limits and the fleet file.
func (e *exchange) job(asked call) (*dispatch.Job, error) {
	if asked.service == "" {
		return nil, fault.New(fault.BadRequest, "model is missing").WithRemedy("name a service as \"model\"; 'GET /v1/models' lists them")
	}
	service, err := e.service(asked.service, fleet.ServiceModel)
	if err != nil {
		return nil, err
	}
	class, err := e.class(service)
	if err != nil {
		return nil, err
	}
	maxTokens, err := e.server.maxTokens(asked.maxTokens)
	if err != nil {
		return nil, err
	}
	if tokens := prefix.Tokens(asked.prompt); tokens > e.server.config.MaxPromptTokens {
		return nil, fault.New(fault.TooLarge, "the prompt has %d tokens, the limit is %d", tokens, e.server.config.MaxPromptTokens)
	}
	return &dispatch.Job{
		ID:                  ident.NewRequest(),
		Tenant:              e.tenant,
		Service:             service.Name,
		Class:               class.Name,
		Priority:            class.Priority,
		Model:               service.Model,
		Adapter:             service.Adapter,
		Versions:            e.catalog.Versions(service.Model),
		Zones:               e.catalog.Zones(e.tenant),
		RecomputationWeight: service.Objective.RecomputationWeight,
		Prompt:              asked.prompt,
		MaxTokens:           maxTokens,
		PlacementDeadline:   time.Now().Add(class.MaxHold),
		FirstTokenTimeout:   class.Deadline,
		Resumable:           asked.stream,
	}, nil
}

func (s *Server) maxTokens(asked *int) (int, error) {
	if asked == nil {
		return min(s.config.DefaultMaxTokens, s.config.MaxTokens), nil
	}
	if *asked < 1 || *asked > s.config.MaxTokens {
		return 0, fault.New(fault.BadRequest, "max_tokens is %d", *asked).WithRemedy("send max_tokens between 1 and %d", s.config.MaxTokens)
	}
	return *asked, nil
}

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

// modelRequest is a decoded chat or completions request, not yet checked against
// the fleet file.
type modelRequest struct {
	chat      bool
	service   ident.Service
	prompt    string
	maxTokens *int
	stream    bool
}

const maxRoleBytes = 32

// render joins the messages into the prompt for an engine.
func render(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", fault.New(fault.BadRequest, "messages is empty").WithRemedy("send at least one message")
	}
	var prompt strings.Builder
	for index, message := range messages {
		if !validRole(message.Role) {
			return "", fault.New(fault.BadRequest, "message %d has an invalid role", index).
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
	for _, char := range role {
		if (char < 'a' || char > 'z') && char != '_' {
			return false
		}
	}
	return true
}

func (e *exchange) decodeChat() (modelRequest, error) {
	var body chatRequest
	if err := e.decodeBody(&body); err != nil {
		return modelRequest{}, err
	}
	prompt, err := render(body.Messages)
	if err != nil {
		return modelRequest{}, err
	}
	maxTokens := body.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = body.MaxTokens
	}
	return modelRequest{chat: true, service: ident.Service(body.Model), prompt: prompt, maxTokens: maxTokens, stream: body.Stream}, onlyOne(body.N)
}

func (e *exchange) decodeCompletion() (modelRequest, error) {
	var body completionRequest
	if err := e.decodeBody(&body); err != nil {
		return modelRequest{}, err
	}
	if body.Prompt == "" {
		return modelRequest{}, fault.New(fault.BadRequest, "prompt is empty").WithRemedy("send a prompt")
	}
	return modelRequest{service: ident.Service(body.Model), prompt: string(body.Prompt), maxTokens: body.MaxTokens, stream: body.Stream}, onlyOne(body.N)
}

func onlyOne(n *int) error {
	if n != nil && *n != 1 {
		return fault.New(fault.BadRequest, "n is %d", *n).WithRemedy("send one request for each answer, with n left out")
	}
	return nil
}

// job checks a request against the limits and the fleet file.
func (e *exchange) job(parsed modelRequest) (*dispatch.Job, error) {
	if parsed.service == "" {
		return nil, fault.New(fault.BadRequest, "model is missing").WithRemedy("name a service as \"model\"; 'GET /v1/models' lists them")
	}
	service, err := e.service(parsed.service, fleet.ServiceModel)
	if err != nil {
		return nil, err
	}
	class, err := e.class(service)
	if err != nil {
		return nil, err
	}
	maxTokens, err := e.server.maxTokens(parsed.maxTokens)
	if err != nil {
		return nil, err
	}
	if tokens := prefix.Tokens(parsed.prompt); tokens > e.server.config.MaxPromptTokens {
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
		Prompt:              parsed.prompt,
		MaxTokens:           maxTokens,
		PlacementDeadline:   time.Now().Add(class.MaxHold),
		FirstTokenTimeout:   class.Deadline,
		Resumable:           parsed.stream,
	}, nil
}

func (s *Server) maxTokens(requested *int) (int, error) {
	if requested == nil {
		return min(s.config.DefaultMaxTokens, s.config.MaxTokens), nil
	}
	if *requested < 1 || *requested > s.config.MaxTokens {
		return 0, fault.New(fault.BadRequest, "max_tokens is %d", *requested).WithRemedy("send max_tokens between 1 and %d", s.config.MaxTokens)
	}
	return *requested, nil
}

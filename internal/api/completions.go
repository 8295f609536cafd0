package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/resume"
)

const (
	headerLastEventID = "Last-Event-ID"
	headerRequest     = "X-Request-Id"
)

func (e *exchange) chatCompletions() error { return e.complete(e.decodeChat) }

func (e *exchange) completions() error { return e.complete(e.decodeCompletion) }

// complete serves a chat or completions request.
func (e *exchange) complete(decode func() (modelRequest, error)) error {
	parsed, err := decode()
	if err != nil {
		return err
	}
	job, err := e.job(parsed)
	if err != nil {
		return err
	}
	builder := answerBuilder{chat: parsed.chat, request: job.ID, service: job.Service, created: time.Now().Unix()}
	if !parsed.stream {
		return e.completeWhole(job, builder)
	}
	token, resuming, err := e.token()
	if err != nil {
		return err
	}
	if resuming && (token.Service != job.Service || token.Chat != parsed.chat) {
		return fault.New(fault.InvalidToken, "the token belongs to another service or endpoint")
	}
	if resuming {
		err := e.resume(token)
		// A caller that has received no text gets a new run, which cannot
		// contradict anything.
		if err == nil || token.Position.EmittedBytes > 0 {
			return err
		}
	}
	e.writer.Header().Set(headerRequest, string(job.ID))
	sink := e.newStreamSink(builder)
	completion, err := e.server.runner.Run(e.request.Context(), job, sink)
	return sink.finish(completion, err)
}

// wholeSink collects an answer; its length is bounded by max_tokens.
type wholeSink struct{ text strings.Builder }

// Chunk implements dispatch.Sink.
func (s *wholeSink) Chunk(chunk dispatch.Chunk) error {
	s.text.WriteString(chunk.Text)
	return nil
}

func (e *exchange) completeWhole(job *dispatch.Job, builder answerBuilder) error {
	e.writer.Header().Set(headerRequest, string(job.ID))
	var sink wholeSink
	completion, err := e.server.runner.Run(e.request.Context(), job, &sink)
	if err != nil {
		return err
	}
	e.allowWrite()
	writeJSON(e.writer, http.StatusOK, builder.complete(sink.text.String(), completion))
	return nil
}

// allowWrite sets the deadline for writing a whole answer.
func (e *exchange) allowWrite() {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(e.server.config.WriteTimeout))
}

// token decrypts the Last-Event-ID header, if there is one.
func (e *exchange) token() (token resume.Token, found bool, err error) {
	values := e.request.Header.Values(headerLastEventID)
	if len(values) == 0 {
		return resume.Token{}, false, nil
	}
	if len(values) > 1 {
		return resume.Token{}, false, fault.New(fault.InvalidToken, "the %s header appears more than once", headerLastEventID)
	}
	token, err = e.server.tokens.Open(values[0], e.tenant)
	return token, err == nil, err
}

// streams serves GET /v1/streams: the rest of a stream from Last-Event-ID.
func (s *Server) streams(e *exchange) error {
	token, found, err := e.token()
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.BadRequest, "the %s header is missing", headerLastEventID).
			WithRemedy("send the last event id that was received as %s", headerLastEventID)
	}
	return e.resume(token)
}

// resume streams the rest of an answer, if the tenant may still use the service
// and the zone of the engine.
func (e *exchange) resume(token resume.Token) error {
	if _, err := e.service(token.Service, fleet.ServiceModel); err != nil {
		return fault.From(err).WithRan(fault.RanYes)
	}
	engine, known := e.catalog.Engine(token.Position.Engine)
	if !known || !e.catalog.Zones(e.tenant)[engine.Zone] {
		return fault.New(fault.StreamBroken, "the stream's engine is no longer in the tenant's places").WithRan(fault.RanYes)
	}
	if config := &e.server.config; token.Node != config.Node && config.KeepStream != nil {
		config.KeepStream(token.Node, token.Position.Stream)
	}
	e.writer.Header().Set(headerRequest, string(token.Position.Request))
	builder := answerBuilder{chat: token.Chat, request: token.Position.Request, service: token.Service, created: token.Created}
	sink := e.newStreamSink(builder)
	sink.roleSent = true
	sink.lastID = e.request.Header.Get(headerLastEventID)
	job := dispatch.ResumeJob{Position: token.Position, Address: engine.Address}
	completion, err := e.server.runner.Resume(e.request.Context(), job, sink)
	return sink.finish(completion, err)
}

// modelList is the JSON of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      ident.Service `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy string        `json:"owned_by"`
}

// models lists the model services that the tenant may use.
func (s *Server) models(e *exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	tenant, _ := e.catalog.Tenant(e.tenant)
	for _, name := range tenant.Services {
		service, known := e.catalog.Service(name)
		if known && service.Kind == fleet.ServiceModel {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: string(service.Model)})
		}
	}
	writeJSON(e.writer, http.StatusOK, list)
	return nil
}

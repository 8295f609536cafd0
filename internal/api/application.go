package api

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	servicesPrefix       = "/v1/services/"
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the retained answer to an earlier request with the same key.
	headerReplayed         = "Idempotency-Replayed"
	maxIdempotencyKeyBytes = 255
	// maxStatus is the largest HTTP status passed on to a caller.
	maxStatus = 599
)

// application serves every request below /v1/services/{service}.
func (s *Server) application(e *exchange) error {
	job, err := e.applicationJob()
	if err != nil {
		return err
	}
	e.writer.Header().Set(headerRequest, string(job.ID))
	answer, err := s.runner.RunApplication(e.request.Context(), job)
	if err != nil {
		return err
	}
	if answer.Status < http.StatusOK || answer.Status > maxStatus {
		return fault.New(fault.BackendLost, "the application answered with status %d", answer.Status).WithRan(fault.RanYes)
	}
	header := e.writer.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	e.allowWrite()
	e.writer.WriteHeader(answer.Status)
	_, _ = e.writer.Write(answer.Body)
	return nil
}

func (e *exchange) applicationJob() (*dispatch.ApplicationJob, error) {
	name, path, found := strings.Cut(strings.TrimPrefix(e.request.URL.Path, servicesPrefix), "/")
	if !found || e.request.URL.RawPath != "" {
		return nil, fault.New(fault.UnknownRoute, "the path matches no route of a service, or has a non-canonical escape")
	}
	service, err := e.service(ident.Service(name), fleet.ServiceApplication)
	if err != nil {
		return nil, err
	}
	route, err := findRoute(service, e.request.Method, "/"+path)
	if err != nil {
		return nil, err
	}
	class, err := e.class(service)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(e.request.Header, route.Retryable)
	if err != nil {
		return nil, err
	}
	body, err := e.readBody()
	if err != nil {
		return nil, err
	}
	return &dispatch.ApplicationJob{
		ID:                ident.NewRequest(),
		Tenant:            e.tenant,
		Service:           service.Name,
		Class:             class.Name,
		Priority:          class.Priority,
		Zones:             e.catalog.Zones(e.tenant),
		Retryable:         route.Retryable,
		IdempotencyKey:    key,
		Method:            e.request.Method,
		Path:              route.Path,
		RawQuery:          e.request.URL.RawQuery,
		ContentType:       e.request.Header.Get("Content-Type"),
		Body:              body,
		PlacementDeadline: time.Now().Add(class.MaxHold),
	}, nil
}

func findRoute(service fleet.Service, method, path string) (fleet.Route, error) {
	for _, route := range service.Routes {
		if route.Method == method && route.Path == path {
			return route, nil
		}
	}
	return fleet.Route{}, fault.New(fault.UnknownRoute, "service %q has no such method and path", string(service.Name))
}

// idempotencyKey returns the key of the request. A malformed key is rejected on
// retryable routes too, which do not need one.
func idempotencyKey(header http.Header, retryable bool) (string, error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) > 1 {
		return "", fault.New(fault.BadRequest, "the %s header appears more than once", headerIdempotencyKey).WithRemedy("send one key")
	}
	if len(values) == 0 || values[0] == "" {
		if retryable {
			return "", nil
		}
		return "", fault.New(fault.MissingIdempotencyKey, "the route is not repeatable and no key was sent")
	}
	key := values[0]
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, notPrintable) {
		return "", fault.New(fault.BadRequest, "the %s is longer than %d bytes, or not printable ASCII", headerIdempotencyKey, maxIdempotencyKeyBytes).
			WithRemedy("send a key of 1 to %d printable ASCII characters", maxIdempotencyKeyBytes)
	}
	return key, nil
}

func notPrintable(char rune) bool { return char < '!' || char > '~' }

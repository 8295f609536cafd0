package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/httpclient"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const pathServices = "/v1/services/"

// Call implements ApplicationCaller. A complete answer of any status that is not
// marked as a refusal is returned unchanged.
func (c *HTTPClient) Call(ctx context.Context, address string, request ApplicationRequest) (ApplicationResponse, error) {
	response, err := c.send(ctx, applicationExchange(address, request))
	if err != nil {
		return ApplicationResponse{}, err
	}
	body, err := httpclient.ReadBody(response, c.options.MaxAnswerBytes)
	if err != nil {
		return ApplicationResponse{}, backendLost(err, "the answer of application %s is incomplete or too large", address)
	}
	if refused, found := refusalFault(response, body); found {
		return ApplicationResponse{}, refused
	}
	if response.Header.Get(protocol.HeaderRan) == string(fault.RanNo) {
		return ApplicationResponse{}, backendLost(nil, "application %s sent a malformed refusal", address)
	}
	return ApplicationResponse{
		Status: response.StatusCode, Header: response.Header, Body: body,
		Incarnation: ident.Incarnation(response.Header.Get(protocol.HeaderIncarnation)),
	}, nil
}

func applicationExchange(address string, request ApplicationRequest) exchange {
	header := http.Header{}
	header.Set(protocol.HeaderRequest, string(request.RequestID))
	header.Set(protocol.HeaderAttempt, strconv.FormatUint(uint64(request.Attempt), 10))
	header.Set(protocol.HeaderTenant, string(request.Tenant))
	if request.IdempotencyKey != "" {
		header.Set(protocol.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	path := pathServices + url.PathEscape(string(request.Service)) + escapePath(request.Path)
	if request.RawQuery != "" {
		path += "?" + request.RawQuery
	}
	return exchange{
		method: request.Method, address: address, path: path,
		contentType: request.ContentType, header: header, body: request.Body,
	}
}

// escapePath escapes a decoded path, except its slashes.
func escapePath(path string) string {
	return (&url.URL{Path: path}).EscapedPath()
}

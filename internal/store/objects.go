package store

import (
	"context"
	"net/http"
	"net/url"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	pathObjects = "/objects/v1/"
	pathWeights = "/weights/v1/"
)

// Put implements Objects.
func (c *HTTPClient) Put(ctx context.Context, zone ident.Zone, key string, data []byte) error {
	_, err := c.do(ctx, call{description: "writing an object", method: http.MethodPut, path: objectPath(zone, key), body: data})
	return err
}

// Get implements Objects.
func (c *HTTPClient) Get(ctx context.Context, zone ident.Zone, key string) ([]byte, bool, error) {
	response, err := c.do(ctx, call{description: "reading an object", method: http.MethodGet, path: objectPath(zone, key), allowsNotFound: true})
	return response.body, response.found, err
}

// FetchWeights returns the weights of a model version. The transfer is slow; only engines
// call it.
func (c *HTTPClient) FetchWeights(ctx context.Context, model ident.Model, version ident.ModelVersion) ([]byte, error) {
	path := pathWeights + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	response, err := c.do(ctx, call{description: "fetching weights", method: http.MethodGet, path: path})
	return response.body, err
}

func objectPath(zone ident.Zone, key string) string {
	return pathObjects + url.PathEscape(string(zone)) + "/" + url.PathEscape(key)
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
)

const (
	// statusTimeout bounds one status request.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds one response body.
	maxStatusBytes = 8 << 20
)

// routersClient queries routers for their status.
type routersClient struct {
	addresses []string
	client    *http.Client
}

func newRoutersClient(addresses []string) *routersClient {
	return &routersClient{addresses: addresses, client: &http.Client{Timeout: statusTimeout}}
}

// routerResult is the status of one router, or why there is none.
type routerResult struct {
	address string
	status  status.Router
	err     error
}

// fetchAll queries all routers at once and returns the results in the order of
// the addresses.
func (c *routersClient) fetchAll(ctx context.Context) []routerResult {
	results := make([]routerResult, len(c.addresses))
	finished := make(chan struct{}, len(c.addresses))
	for index, address := range c.addresses {
		go func() {
			reported, err := c.fetch(ctx, address)
			results[index] = routerResult{address, reported, err}
			finished <- struct{}{}
		}()
	}
	for range c.addresses {
		<-finished
	}
	return results
}

func (c *routersClient) fetch(ctx context.Context, address string) (status.Router, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+status.Path, nil)
	if err != nil {
		return status.Router{}, errors.New("the address is malformed")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return status.Router{}, errors.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status.Router{}, errors.Errorf("HTTP status %d", response.StatusCode)
	}
	var reported status.Router
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&reported); err != nil {
		return status.Router{}, errors.Wrap(err, "the response is not a router status")
	}
	if reported.Node == "" {
		return status.Router{}, errors.New("the response has no node name")
	}
	return reported, nil
}

// describeFailures describes the routers that did not answer.
func describeFailures(results []routerResult) []string {
	var failures []string
	for _, result := range results {
		if result.err != nil {
			failures = append(failures, result.address+": "+result.err.Error())
		}
	}
	return failures
}

// observedVersions is the highest fleet version reported for each live router.
// Versions only rise, so the highest of several reports is the newest.
type observedVersions map[ident.Node]uint64

// isLive reports whether a member may be serving: a suspected one may be alive.
func isLive(member status.Member) bool {
	return member.State == status.MemberAlive || member.State == status.MemberSuspect
}

// collectVersions merges the reports of all routers that answered.
func collectVersions(results []routerResult) observedVersions {
	versions := observedVersions{}
	for _, result := range results {
		if result.err != nil {
			continue
		}
		versions[result.status.Node] = max(versions[result.status.Node], result.status.FleetVersion)
		for _, member := range result.status.Members {
			if isLive(member) {
				versions[member.Node] = max(versions[member.Node], member.FleetVersion)
			}
		}
	}
	return versions
}

func (v observedVersions) highest() uint64 {
	var highest uint64
	for _, version := range v {
		highest = max(highest, version)
	}
	return highest
}

// lagging names the routers whose version is below the given one.
func (v observedVersions) lagging(version uint64) []string {
	var lagging []string
	for node, observed := range v {
		if observed < version {
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", node, observed))
		}
	}
	slices.Sort(lagging)
	return lagging
}

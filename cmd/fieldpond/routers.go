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
	// statusTimeout bounds one question to a router.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds one answer.
	maxStatusBytes = 8 << 20
)

// routersClient asks routers for their state.
type routersClient struct {
	addresses []string
	client    *http.Client
}

func newRoutersClient(addresses []string) *routersClient {
	return &routersClient{addresses: addresses, client: &http.Client{Timeout: statusTimeout}}
}

// routerAnswer is what one router answered.
type routerAnswer struct {
	address string
	status  status.Router
	err     error
}

// ask asks all routers at once and returns their answers in the order of the
// addresses.
func (c *routersClient) ask(ctx context.Context) []routerAnswer {
	answers := make([]routerAnswer, len(c.addresses))
	finished := make(chan struct{}, len(c.addresses))
	for index, address := range c.addresses {
		go func() {
			reported, err := c.fetch(ctx, address)
			answers[index] = routerAnswer{address, reported, err}
			finished <- struct{}{}
		}()
	}
	for range c.addresses {
		<-finished
	}
	return answers
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
		return status.Router{}, errors.Wrap(err, "the answer is no status")
	}
	if reported.Node == "" {
		return status.Router{}, errors.New("the answer names no node")
	}
	return reported, nil
}

// failuresOf describes the routers that did not answer.
func failuresOf(answers []routerAnswer) []string {
	var failures []string
	for _, answer := range answers {
		if answer.err != nil {
			failures = append(failures, answer.address+": "+answer.err.Error())
		}
	}
	return failures
}

// versionsSeen is the highest fleet version heard of each live router.
// Versions only rise, so the highest of several accounts is the newest.
type versionsSeen map[ident.Node]uint64

// isLive reports whether a member may be serving: a suspected one may be alive.
func isLive(member status.Member) bool {
	return member.State == status.MemberAlive || member.State == status.MemberSuspect
}

// versionsOf joins the accounts of all routers that answered.
func versionsOf(answers []routerAnswer) versionsSeen {
	seen := versionsSeen{}
	for _, answer := range answers {
		if answer.err != nil {
			continue
		}
		seen[answer.status.Node] = max(seen[answer.status.Node], answer.status.FleetVersion)
		for _, member := range answer.status.Members {
			if isLive(member) {
				seen[member.Node] = max(seen[member.Node], member.FleetVersion)
			}
		}
	}
	return seen
}

// newest returns the highest version seen.
func (v versionsSeen) newest() uint64 {
	var newest uint64
	for _, version := range v {
		newest = max(newest, version)
	}
	return newest
}

// lagging names the routers whose version is below the given one.
func (v versionsSeen) lagging(version uint64) []string {
	var lagging []string
	for node, has := range v {
		if has < version {
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", node, has))
		}
	}
	slices.Sort(lagging)
	return lagging
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// statusPath is where a router tells what it knows of all routers.
	statusPath = "/status.json"
	// statusInterval is the time between two rounds of questions.
	statusInterval = 250 * time.Millisecond
	// statusTimeout bounds one question.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds one answer.
	maxStatusBytes = 8 << 20
	// memberAlive and memberSuspect are the states of members that must have
	// the version: a suspect may be alive.
	memberAlive   = "alive"
	memberSuspect = "suspect"
)

// routerStatus is the part of /status.json that apply --wait reads.
type routerStatus struct {
	Node         ident.Node     `json:"node"`
	FleetVersion fleet.Version  `json:"fleet_version"`
	Members      []memberStatus `json:"members"`
}

type memberStatus struct {
	Node         ident.Node    `json:"node"`
	FleetVersion fleet.Version `json:"fleet_version"`
	State        string        `json:"state"`
}

// statusWaiter asks routers until all live ones have a version in force.
type statusWaiter struct {
	routers []string
	client  *http.Client
}

func newStatusWaiter(routers []string) *statusWaiter {
	return &statusWaiter{routers: routers, client: &http.Client{Timeout: statusTimeout}}
}

// wait returns the number of live routers once each has version or a later one
// in force, or a Timeout fault that names those that lagged in the last round
// that was answered; the end of ctx may cut the very last one short.
func (w *statusWaiter) wait(ctx context.Context, version fleet.Version) (int, error) {
	var lagging, failures []string
	for {
		seen, unanswered := w.ask(ctx)
		if len(seen) > 0 {
			lagging = seen.lagging(version)
			if len(lagging) == 0 {
				return len(seen), nil
			}
		}
		if ctx.Err() == nil {
			failures = unanswered
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return 0, waitFault(version, lagging, failures)
		}
	}
}

func waitFault(version fleet.Version, lagging, failures []string) *fault.Fault {
	detail := fmt.Sprintf("version %d is accepted, but not yet known to be in force everywhere", version)
	if len(lagging) > 0 {
		detail += "; lagging: " + strings.Join(lagging, ", ")
	}
	if len(failures) > 0 {
		detail += "; without an answer: " + strings.Join(failures, "; ")
	}
	return fault.New(fault.Timeout, "%s", detail).WithRan(fault.RanYes)
}

// versionsSeen is the highest version heard of each live router. Versions only
// rise, so the highest of several accounts is the newest.
type versionsSeen map[ident.Node]fleet.Version

func (v versionsSeen) lagging(version fleet.Version) []string {
	var lagging []string
	for node, has := range v {
		if has < version {
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", node, has))
		}
	}
	slices.Sort(lagging)
	return lagging
}

// ask makes one round of questions, to all routers at once.
func (w *statusWaiter) ask(ctx context.Context) (versionsSeen, []string) {
	type answer struct {
		status routerStatus
		err    error
	}
	answers := make([]chan answer, len(w.routers))
	for index, router := range w.routers {
		answers[index] = make(chan answer, 1)
		go func() {
			status, err := w.fetch(ctx, router)
			answers[index] <- answer{status, err}
		}()
	}
	seen := versionsSeen{}
	var failures []string
	for index, router := range w.routers {
		answer := <-answers[index]
		if answer.err != nil {
			failures = append(failures, router+": "+answer.err.Error())
			continue
		}
		status := answer.status
		seen[status.Node] = max(seen[status.Node], status.FleetVersion)
		for _, member := range status.Members {
			if member.State == memberAlive || member.State == memberSuspect {
				seen[member.Node] = max(seen[member.Node], member.FleetVersion)
			}
		}
	}
	return seen, failures
}

func (w *statusWaiter) fetch(ctx context.Context, router string) (routerStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+statusPath, nil)
	if err != nil {
		return routerStatus{}, errors.Wrap(err, "the address is malformed")
	}
	response, err := w.client.Do(request)
	if err != nil {
		return routerStatus{}, errors.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return routerStatus{}, errors.Errorf("status %d", response.StatusCode)
	}
	var status routerStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return routerStatus{}, errors.Wrap(err, "the answer is no status")
	}
	if status.Node == "" {
		return routerStatus{}, errors.New("the answer names no node")
	}
	return status, nil
}

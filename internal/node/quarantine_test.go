package node

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// failingReports are engines whose reports fail with err, or succeed if it is nil.
type failingReports struct {
	idleEngines
	err error
}

// Report implements rollout.Engines.
func (e failingReports) Report(context.Context, backend.Record) (*rollout.Report, error) {
	return &rollout.Report{}, e.err
}

func TestProbeOfIncarnation(t *testing.T) {
	refused := &exchange.Error{Cause: syscall.ECONNREFUSED}
	tests := []struct {
		name string
		err  error
		// open is true if an older attempt is open there.
		open bool
		want guard.ProbeResult
	}{
		{"it answers", nil, false, guard.ProbeAlive},
		{"another incarnation answers", rollout.ErrOtherInstance, false, guard.ProbeEnded},
		{"connections are refused", refused, false, guard.ProbeRefused},
		{"refused while an older attempt is open", refused, true, guard.ProbeInconclusive},
		{"silence", context.DeadlineExceeded, false, guard.ProbeInconclusive},
		{"a reset", &exchange.Error{Sent: true, Cause: syscall.ECONNRESET}, false, guard.ProbeInconclusive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			backends := backend.NewRegistry(backend.Config{})
			record := backend.Record{Instance: "e", Service: "s", Slots: 4}
			backends.ApplyList(now, []backend.Record{record})
			if tt.open {
				_, _, found := backends.Pick(now, &backend.Query{Service: "s"})
				is.True(found)
			}
			q := &quarantines{engines: failingReports{err: tt.err}, backends: backends}
			is.Equal(q.target(record).Probe(t.Context(), now.Add(time.Second)), tt.want)
		})
	}
}

// The end of a back end that is draining or unlisted is no crash.
func TestDrainingOrUnlistedBackends(t *testing.T) {
	is := is.New(t)
	backends := backend.NewRegistry(backend.Config{})
	backends.ApplyList(time.Now(), []backend.Record{{Instance: "a", Service: "s"}, {Instance: "b", Service: "s", Draining: true}})
	is.True(!backends.DrainingOrUnlisted("a"))
	is.True(backends.DrainingOrUnlisted("b"))
	is.True(backends.DrainingOrUnlisted("c"))
}

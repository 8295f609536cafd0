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

// failingReports are engines whose reports fail in one way, or come.
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
		// open says that an attempt from before is open there.
		open bool
		want guard.Sign
	}{
		{"it answers", nil, false, guard.SignAlive},
		{"another life answers", rollout.ErrOtherInstance, false, guard.SignEnded},
		{"connections are refused", refused, false, guard.SignRefused},
		{"refused while an older attempt is open", refused, true, guard.SignNone},
		{"silence", context.DeadlineExceeded, false, guard.SignNone},
		{"a reset", &exchange.Error{Sent: true, Cause: syscall.ECONNRESET}, false, guard.SignNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			backends := backend.NewRegistry(backend.Config{})
			record := backend.Record{Instance: "e", Service: "s", Slots: 4}
			backends.Update(now, []backend.Record{record})
			if tt.open {
				_, _, found := backends.Pick(now, &backend.Query{Service: "s"})
				is.True(found)
			}
			q := &quarantines{engines: failingReports{err: tt.err}, backends: backends}
			is.Equal(q.target(record).Look(t.Context(), now.Add(time.Second)), tt.want)
		})
	}
}

// What ran at a back end that is leaving, or that is not listed any more, has not crashed it.
func TestDrainingOrUnlistedBackends(t *testing.T) {
	is := is.New(t)
	backends := backend.NewRegistry(backend.Config{})
	backends.Update(time.Now(), []backend.Record{{Instance: "a", Service: "s"}, {Instance: "b", Service: "s", Draining: true}})
	is.True(!backends.Leaving("a"))
	is.True(backends.Leaving("b"))
	is.True(backends.Leaving("c"))
}

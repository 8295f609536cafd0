package canary

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// ChooseRequest describes the attempt that Gate.Choose is asked about.
type ChooseRequest struct {
	Service ident.Service
	// Route is the name of the request's route.
	Route string
	// First says that the request is asked about for the first time, also if it waits
	// and is asked about again later. Only a first ask is counted, and only it may be
	// sent to a target that is being observed.
	First bool
	// Excluded is the number of back ends that were tried before.
	Excluded int
}

// Run is one attempt that was sent; it is handed back to Gate.Ended when it is over. The
// zero value stands for an attempt that nobody counts.
type Run struct {
	service ident.Service
	release ident.Release
	// revision is that of the order that was known when the attempt was sent, 0 if none.
	revision uint64
	group    uint32
	counted  bool
}

// Outcome says what came of an attempt.
type Outcome uint8

const (
	// Answered is a whole answer that is no failure.
	Answered Outcome = iota + 1
	// Failed is an answer that says that the back end's work failed.
	Failed
	// NoAnswer is everything else: refused without being run, unreachable, broken off,
	// silent, or abandoned by the client. It says nothing of a release.
	NoAnswer
)

// Sample tells what came of one attempt.
type Sample struct {
	// Route is the name of the request's route.
	Route   string
	Outcome Outcome
	// Elapsed is the time from sending to the first byte of the answer.
	Elapsed time.Duration
	// Predicted is the time that was predicted for Elapsed if the back end were idle; 0 if
	// there is no prediction. For back ends of a rollout's target it is the one with
	// nothing of the prompt cached, so that a cold cache is not taken for a slow release;
	// for others the one with what is believed to be cached there.
	Predicted time.Duration
}

package canary

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// ChooseRequest describes an attempt to Gate.Choose.
type ChooseRequest struct {
	Service ident.Service
	// Route is the name of the request's route.
	Route string
	// First is set for the first call of Choose for a request, even if the request waits
	// and Choose is called again later. Only then is the request counted, and may go to a
	// target that is being observed.
	First bool
	// Excluded is the number of back ends that were tried before.
	Excluded int
	// Continues is whether the request continues a stream that began at Release, so that it may only
	// go there.
	Continues bool
	Release   ident.Release
}

// Run is one attempt that was sent, to be passed to Gate.Ended when it is over. The zero
// value is an attempt that is not counted.
type Run struct {
	service ident.Service
	release ident.Release
	// revision is that of the order known when the attempt was sent, 0 if none.
	revision uint64
	group    uint32
	counted  bool
}

// Outcome is the outcome of an attempt.
type Outcome uint8

const (
	// Answered is a complete answer that is no failure.
	Answered Outcome = iota + 1
	// Failed is an answer that reports that the back end's work failed.
	Failed
	// NoAnswer is everything else: refused without being run, unreachable, broken off,
	// silent, or abandoned by the client. It is no evidence about a release.
	NoAnswer
)

// Sample is the outcome of one attempt.
type Sample struct {
	// Route is the name of the request's route.
	Route   string
	Outcome Outcome
	// Elapsed is the time from sending to the first byte of the answer.
	Elapsed time.Duration
	// Predicted is the predicted Elapsed on an idle back end; 0 if there is no prediction.
	// For back ends of a rollout's target it assumes an empty prompt cache, so that a cold
	// cache does not count as a slow release; for others the cache as estimated.
	Predicted time.Duration
	// Continues is that of ChooseRequest: what is left of a stream is no evidence for or against a
	// release.
	Continues bool
}

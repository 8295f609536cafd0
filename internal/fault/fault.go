// Package fault declares the typed errors of fieldpond.
//
// Every Fault has a Kind, states whether the request it answers ran, and names the
// remedy in its message. Only kinds.go maps kinds to an HTTP status and exit code.
package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran is whether a back end executed the request.
type Ran string

const (
	// RanNo guarantees that no back end executed any part of the request.
	RanNo Ran = "no"
	// RanYes means that a back end executed the request, wholly or in part.
	RanYes Ran = "yes"
	// RanUnknown means that the request may or may not have been executed.
	RanUnknown Ran = "unknown"
)

// Fault is an error with a kind, a remedy and whether the request ran.
type Fault struct {
	// Kind selects the remedy, HTTP status and exit code.
	Kind Kind
	// Detail describes the error, in one clause.
	Detail string
	// Remedy overrides the kind's remedy when not empty.
	Remedy string
	// Ran is RanNo after New and Wrap, since most faults precede any attempt.
	Ran Ran
	// RetryAfter is the time after which the caller may retry; zero means not stated.
	RetryAfter time.Duration
	cause      error
}

// New returns a Fault of the given kind whose request did not run.
func New(kind Kind, format string, arguments ...any) *Fault {
	return &Fault{Kind: kind, Detail: fmt.Sprintf(format, arguments...), Ran: RanNo}
}

// Wrap returns a Fault of the given kind that wraps cause, for errors.Is/As.
func Wrap(cause error, kind Kind, format string, arguments ...any) *Fault {
	wrapped := New(kind, format, arguments...)
	wrapped.cause = cause
	return wrapped
}

// WithRan sets Ran and returns the fault.
func (f *Fault) WithRan(ran Ran) *Fault {
	f.Ran = ran
	return f
}

// WithRetryAfter sets RetryAfter and returns the fault.
func (f *Fault) WithRetryAfter(after time.Duration) *Fault {
	f.RetryAfter = after
	return f
}

// WithRemedy replaces the kind's remedy and returns the fault.
func (f *Fault) WithRemedy(format string, arguments ...any) *Fault {
	f.Remedy = fmt.Sprintf(format, arguments...)
	return f
}

// EffectiveRemedy returns the remedy of this fault, or that of its kind.
func (f *Fault) EffectiveRemedy() string {
	if f.Remedy != "" {
		return f.Remedy
	}
	return f.Kind.Remedy()
}

// Error implements error: kind, detail, remedy and cause in one line.
func (f *Fault) Error() string {
	message := fmt.Sprintf("%s: %s; remedy: %s", f.Kind, f.Detail, f.EffectiveRemedy())
	if f.cause != nil {
		message += "; cause: " + f.cause.Error()
	}
	return message
}

// Unwrap returns the cause, if any.
func (f *Fault) Unwrap() error { return f.cause }

// From returns the Fault inside err, or an Internal fault with RanUnknown that wraps
// it. It returns nil for a nil error.
func From(err error) *Fault {
	if err == nil {
		return nil
	}
	var found *Fault
	if errors.As(err, &found) {
		return found
	}
	return Wrap(err, Internal, "unexpected error").WithRan(RanUnknown)
}

// Is reports whether err is, or wraps, a Fault of the given kind.
func Is(err error, kind Kind) bool {
	var found *Fault
	return errors.As(err, &found) && found.Kind == kind
}

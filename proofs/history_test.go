package proofs

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
)

// The bookings of one tenant's key are a register that is written at most once:
// an execution writes it, and every outcome of a caller reads it.

// operationKind is what one operation does to, or proves about, the register.
type operationKind int

const (
	// executionOperation is an execution, from a truth log: the register was empty.
	executionOperation operationKind = iota
	// answerOperation returned a booking: the register holds it.
	answerOperation
	// ranOperation was reported as run: the register is not empty.
	ranOperation
	// notRunOperation was reported by the claim's holder: the register was empty.
	notRunOperation
	// unknownOperation proves nothing about the register.
	unknownOperation
)

// registerOperation is one operation on the register of a key.
type registerOperation struct {
	key     string
	kind    operationKind
	booking string
	// faultKind is the kind of a refusal, for the text of a failure.
	faultKind fault.Kind
}

// bookingRegister is the model; its state is the booking, or "".
var bookingRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(registerOperation).key
			parts[key] = append(parts[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, part := range parts {
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		booked, operation := state.(string), input.(registerOperation)
		switch operation.kind {
		case executionOperation:
			return booked == "", operation.booking
		case answerOperation:
			return booked == operation.booking, booked
		case ranOperation:
			return booked != "", booked
		case notRunOperation:
			return booked == "", booked
		}
		return true, booked
	},
}

// operationOf returns what a caller's outcome proves about the register. A refusal
// before the claim was read proves something about this attempt only.
func operationOf(outcome harness.Outcome) registerOperation {
	read := registerOperation{key: registerKey(outcome.Tenant, outcome.Key), kind: unknownOperation, faultKind: outcome.Kind()}
	switch {
	case outcome.Answered():
		read.kind, read.booking = answerOperation, outcome.Answer.Booking
	case outcome.Ran() == fault.RanYes:
		read.kind = ranOperation
	case outcome.Ran() == fault.RanNo && (outcome.Kind() == fault.BackendRefused || outcome.Kind() == fault.NoPermittedEngine):
		read.kind = notRunOperation
	}
	return read
}

func registerKey(tenant ident.Tenant, key string) string { return string(tenant) + "/" + key }

func bookingOf(execution application.Execution) string {
	return fmt.Sprintf("%s-%d", execution.Incarnation, execution.Order)
}

// requireAtMostOnce checks the histories of callers against the executions.
func requireAtMostOnce(t *testing.T, executions []application.Execution, callers ...*harness.Caller) {
	t.Helper()
	var operations []porcupine.Operation
	runs := map[string]int{}
	ran := map[ident.Request]bool{}
	for _, execution := range executions {
		key := registerKey(execution.Tenant, execution.IdempotencyKey)
		runs[key]++
		ran[execution.RequestID] = true
		at := execution.Time.UnixNano()
		operations = append(operations, porcupine.Operation{
			Input: registerOperation{key: key, kind: executionOperation, booking: bookingOf(execution)}, Call: at, Return: at,
		})
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
	}
	for number, caller := range callers {
		for _, outcome := range caller.History() {
			requireOwnAnswer(t, outcome)
			if outcome.Ran() == fault.RanNo && ran[outcome.RequestID] {
				t.Errorf("%s was reported not run (%s), but the request ran", outcome.Key, outcome.Kind())
			}
			operation := porcupine.Operation{ClientId: number, Input: operationOf(outcome), Call: outcome.Began.UnixNano(), Return: outcome.Ended.UnixNano()}
			if operation.Input.(registerOperation).kind == unknownOperation {
				operation.Return = math.MaxInt64
			}
			operations = append(operations, operation)
		}
	}
	for _, part := range bookingRegister.Partition(operations) {
		if !porcupine.CheckOperations(bookingRegister, part) {
			t.Errorf("the history of a key is not that of a register written at most once:\n%s", describe(part))
		}
	}
}

// describe lists the operations of one key in the order of their starts.
func describe(part []porcupine.Operation) string {
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var text strings.Builder
	for _, operation := range part {
		first, last := time.Duration(operation.Call-part[0].Call), time.Duration(operation.Return-part[0].Call)
		fmt.Fprintf(&text, "  %s to %s: %+v\n", first, last, operation.Input)
	}
	return text.String()
}

// requireOwnAnswer fails if an answer belongs to another tenant, key or body, or
// a temporary refusal has no Retry-After.
func requireOwnAnswer(t *testing.T, outcome harness.Outcome) {
	t.Helper()
	digest := application.Digest(outcome.Tenant, outcome.Key, []byte(outcome.Body))
	if outcome.Answered() && outcome.Key != "" && (outcome.Answer.Digest != digest || outcome.Answer.Tenant != outcome.Tenant) {
		t.Errorf("%s of %s got the answer %+v", outcome.Key, outcome.Tenant, outcome.Answer)
	}
	if outcome.Refusal == nil || outcome.RetryAfter != "" {
		return
	}
	switch outcome.Status {
	case 429, 502, 503:
		t.Errorf("%s was refused with %d %s and no Retry-After", outcome.Key, outcome.Status, outcome.Kind())
	}
}

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
// an execution writes it, and every word a caller is told reads it.

// word is what one operation does with the register.
type word int

const (
	// wordRun is an execution, from a truth log: the register was empty.
	wordRun word = iota
	// wordAnswered names a booking: the register holds it.
	wordAnswered
	// wordYes says that the work ran: the register is not empty.
	wordYes
	// wordNo was said with the claim in hand: the register was empty.
	wordNo
	// wordOpen says nothing of the register.
	wordOpen
)

// access is one operation on the register of a key.
type access struct {
	key     string
	word    word
	booking string
	// said is the kind of a refusal, for the reader of a failed history.
	said fault.Kind
}

// bookingRegister is the model; its state is the booking, or "".
var bookingRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(access).key
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
		booked, operation := state.(string), input.(access)
		switch operation.word {
		case wordRun:
			return booked == "", operation.booking
		case wordAnswered:
			return booked == operation.booking, booked
		case wordYes:
			return booked != "", booked
		case wordNo:
			return booked == "", booked
		}
		return true, booked
	},
}

// accessOf returns what a caller's word says of the register. A refusal before
// the claim was read speaks of this one sending only.
func accessOf(told harness.Told) access {
	read := access{key: registerKey(told.Tenant, told.Key), word: wordOpen, said: told.Kind()}
	switch {
	case told.Answered():
		read.word, read.booking = wordAnswered, told.Answer.Booking
	case told.Ran() == fault.RanYes:
		read.word = wordYes
	case told.Ran() == fault.RanNo && (told.Kind() == fault.BackendRefused || told.Kind() == fault.NoPermittedEngine):
		read.word = wordNo
	}
	return read
}

func registerKey(tenant ident.Tenant, key string) string { return string(tenant) + "/" + key }

func bookingOf(execution application.Execution) string {
	return fmt.Sprintf("%s-%d", execution.Incarnation, execution.Order)
}

// requireAtMostOnce judges the histories of callers against the executions.
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
			Input: access{key: key, word: wordRun, booking: bookingOf(execution)}, Call: at, Return: at,
		})
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
	}
	for number, caller := range callers {
		for _, told := range caller.History() {
			requireOwnAnswer(t, told)
			if told.Ran() == fault.RanNo && ran[told.RequestID] {
				t.Errorf("%s was told not run (%s) of a request that ran", told.Key, told.Kind())
			}
			operation := porcupine.Operation{ClientId: number, Input: accessOf(told), Call: told.Began.UnixNano(), Return: told.Ended.UnixNano()}
			if operation.Input.(access).word == wordOpen {
				operation.Return = math.MaxInt64
			}
			operations = append(operations, operation)
		}
	}
	for _, part := range bookingRegister.Partition(operations) {
		if !porcupine.CheckOperations(bookingRegister, part) {
			t.Errorf("the history of a key is none of a register that is written at most once:\n%s", describe(part))
		}
	}
}

// describe lists the operations of one key in the order of their beginnings.
func describe(part []porcupine.Operation) string {
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var text strings.Builder
	for _, operation := range part {
		first, last := time.Duration(operation.Call-part[0].Call), time.Duration(operation.Return-part[0].Call)
		fmt.Fprintf(&text, "  %s to %s: %+v\n", first, last, operation.Input)
	}
	return text.String()
}

// requireOwnAnswer fails if an answer is that of another tenant, key or body,
// or a refusal that passes does not say when to come back.
func requireOwnAnswer(t *testing.T, told harness.Told) {
	t.Helper()
	digest := application.Digest(told.Tenant, told.Key, []byte(told.Body))
	if told.Answered() && told.Key != "" && (told.Answer.Digest != digest || told.Answer.Tenant != told.Tenant) {
		t.Errorf("%s of %s got the answer %+v", told.Key, told.Tenant, told.Answer)
	}
	if told.Refusal == nil || told.RetryAfter != "" {
		return
	}
	switch told.Status {
	case 429, 502, 503:
		t.Errorf("%s was refused with %d %s and no Retry-After", told.Key, told.Status, told.Kind())
	}
}

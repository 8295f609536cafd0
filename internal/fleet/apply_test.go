package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// smallFile returns a valid fleet file with the given name.
func smallFile(name string) []byte {
	return []byte("schema: fieldpond/v1\nname: " + name + "\nregions: [{name: r, zones: [z]}]\nclasses: [{name: c}]\n" +
		"models: [{name: m, version: v1}]\nservices: [{name: s, kind: model, model: m, classes: [c]}]\n" +
		"engines: [{name: e, address: '127.0.0.1:7000', zone: z, models: [m]}]\n" +
		"tenants: [{name: t, keyHashes: [" + keyHash("t") + "], places: [r], services: [s]}]\n")
}

// operator runs applies one after the other.
type operator struct {
	name     string
	applies  int
	applier  *Applier
	applyID  string
	outcomes []outcome
}

type outcome struct {
	applyID string
	applied Applied
	err     error
}

// TestConcurrentAppliers checks concurrent applies on a table that loses requests
// and answers and delays commits, by the table's own log.
func TestConcurrentAppliers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTableModel()
		var late []protocol.Transaction
		operators := []*operator{{name: "a"}, {name: "b"}}
		deliver := func() {
			table.commit(late[0])
			late = late[1:]
			checkHeadsAndBodies(t, table)
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			if len(late) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				deliver()
			}
			operator := rapid.SampledFrom(operators).Draw(t, "operator")
			if operator.applier == nil {
				operator.applies++
				operator.applyID = fmt.Sprintf("%s-%d", operator.name, operator.applies)
				body := []byte(rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "body"))
				operator.applier = NewApplier(body, ApplyOptions{ApplyID: operator.applyID})
			}
			step := operator.applier.Step()
			if step.Kind == StepDone {
				applied, err := operator.applier.Result()
				operator.outcomes = append(operator.outcomes, outcome{operator.applyID, applied, err})
				operator.applier = nil
				continue
			}
			mode := rapid.SampledFrom([]faultMode{works, works, works, lostAfter, lostBefore, down, limited, hangs}).Draw(t, "mode")
			if mode == hangs && step.Kind != StepReadHead {
				late = append(late, step.Transaction)
			}
			runModelStep(table, operator.applier, step, mode)
			checkHeadsAndBodies(t, table)
		}
		for len(late) > 0 {
			deliver()
		}
		for _, operator := range operators {
			checkOutcomes(t, table, operator.outcomes)
		}
	})
}

func runModelStep(table *tableModel, applier *Applier, step ApplyStep, mode faultMode) {
	var result protocol.TransactionResult
	if step.Kind != StepReadHead && (mode == works || mode == lostAfter) {
		result = table.commit(step.Transaction)
	}
	if err := faultOf(mode); err != nil {
		applier.Failed(fault.From(err))
		return
	}
	switch step.Kind {
	case StepReadHead:
		row, found := table.Current[HeadKey]
		applier.HeadRead(row, found)
	case StepCommitChunk:
		applier.ChunkCommitted()
	case StepCommitHead:
		applier.HeadCommitted(result)
	}
}

// checkHeadsAndBodies checks that versions increase by one and that the file in force
// has its body.
func checkHeadsAndBodies(t *rapid.T, table *tableModel) {
	for index, entry := range table.heads {
		if entry.Ref.Version != Version(index+1) {
			t.Fatalf("accepted head %d has version %d", index+1, entry.Ref.Version)
		}
	}
	if len(table.heads) > 0 {
		last := table.heads[len(table.heads)-1]
		if _, found := table.Current[chunkKey(last.Ref.Digest, 0)]; !found {
			t.Fatalf("version %d has no body", last.Ref.Version)
		}
	}
}

// checkOutcomes compares the reported outcomes with the accepted applies.
func checkOutcomes(t *rapid.T, table *tableModel, outcomes []outcome) {
	accepted := map[string][]HistoryEntry{}
	for _, entry := range table.heads {
		accepted[entry.ApplyID] = append(accepted[entry.ApplyID], entry)
	}
	for _, outcome := range outcomes {
		entries := accepted[outcome.applyID]
		failure := fault.From(outcome.err)
		switch {
		case len(entries) > 1:
			t.Fatalf("apply %s was accepted %d times", outcome.applyID, len(entries))
		case failure == nil && outcome.applied.Unchanged:
			if named := table.heads[outcome.applied.Version-1]; len(entries) != 0 || named.Ref.Digest != outcome.applied.Digest {
				t.Fatalf("apply %s was reported as unchanged at %v", outcome.applyID, named)
			}
		case failure == nil:
			if len(entries) != 1 || entries[0].Ref != (FileRef{outcome.applied.Version, outcome.applied.Digest}) {
				t.Fatalf("apply %s was reported as %v but the log has %v", outcome.applyID, outcome.applied, entries)
			}
		case failure.Ran == fault.RanNo && len(entries) != 0:
			t.Fatalf("apply %s was reported as not run (%v) but was accepted", outcome.applyID, failure)
		}
	}
}

func TestApplyFaults(t *testing.T) {
	cases := []struct {
		name string
		// commits are the faults of the head's commits, the last for all later
		// ones; reads those of its reads.
		commits, reads []faultMode
		kind           fault.Kind
		ran            fault.Ran
	}{
		{name: "no fault"},
		{name: "lost answer", commits: []faultMode{lostAfter, works}},
		{name: "lost request", commits: []faultMode{lostBefore, works}},
		{name: "rate limit", commits: []faultMode{limited, limited, works}, reads: []faultMode{limited, works}},
		{name: "commit hangs", commits: []faultMode{hangs, works}},
		{name: "table down", reads: []faultMode{down}, kind: fault.StoreUnavailable, ran: fault.RanNo},
		{name: "down after a lost answer", commits: []faultMode{lostAfter}, reads: []faultMode{works, down}, kind: fault.StoreUnavailable, ran: fault.RanUnknown},
		{name: "commits always lost", commits: []faultMode{lostBefore}, kind: fault.StoreUnavailable, ran: fault.RanUnknown},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			check := is.NewRelaxed(t)
			table := newFakeTable()
			next := func(modes *[]faultMode) faultMode {
				if len(*modes) == 0 {
					return works
				}
				mode := (*modes)[0]
				if len(*modes) > 1 {
					*modes = (*modes)[1:]
				}
				return mode
			}
			table.mode = func(key string, write bool) faultMode {
				if key != HeadKey {
					return works
				}
				if write {
					return next(&test.commits)
				}
				return next(&test.reads)
			}
			applied, err := Apply(t.Context(), table, smallFile("x"), ApplyOptions{})
			if test.kind == "" {
				check.NoErr(err)
				check.Equal(applied.Version, Version(1))
				check.Equal(len(table.model.heads), 1)
				return
			}
			check.True(fault.Is(err, test.kind))
			check.Equal(fault.From(err).Ran, test.ran)
		})
	}
}

func TestApplyConflictsAndReapply(t *testing.T) {
	check := is.New(t)
	ctx, table := context.Background(), newFakeTable()
	apply := func(name string, base *Version) (Applied, error) {
		return Apply(ctx, table, smallFile(name), ApplyOptions{Base: base})
	}
	first, err := apply("one", nil)
	check.NoErr(err)
	again, err := apply("one", nil)
	check.NoErr(err)
	check.True(again.Unchanged && again.ApplyID == first.ApplyID)
	second, err := apply("two", &first.Version)
	check.NoErr(err)
	check.Equal(second.Version, Version(2))
	_, err = apply("three", &first.Version)
	check.True(fault.Is(err, fault.Conflict))
	check.True(strings.Contains(err.Error(), "version 2"))        // the winner
	check.True(strings.Contains(err.Error(), "fieldpond diff"))   // the remedy
	_, err = Apply(ctx, table, []byte("name: x"), ApplyOptions{}) // never reaches the table
	check.True(fault.Is(err, fault.InvalidFleet))
	stored, found, err := ReadStored(ctx, table)
	check.NoErr(err)
	check.True(found && stored.Document.Name == "two")
}

func TestOldBodiesAreDeletedWithTheHistory(t *testing.T) {
	check := is.New(t)
	table := newFakeTable()
	const applies = historyLength + 5
	padding := "# " + strings.Repeat("x", chunkBytes) + "\n" // more than one row a body
	for index := range applies {
		body := append(smallFile(fmt.Sprint("n", index)), padding...)
		_, err := Apply(t.Context(), table, body, ApplyOptions{AppliedAt: time.Unix(1, 0)})
		check.NoErr(err)
	}
	list, _ := table.List(t.Context(), bodyPrefix, 1000)
	check.Equal(len(list.Rows), 2*historyLength)
	stored, _, err := ReadStored(t.Context(), table)
	check.NoErr(err)
	check.Equal(stored.Document.Name, fmt.Sprint("n", applies-1))
}

func TestCompareReportsChanges(t *testing.T) {
	check := is.New(t)
	before := string(exampleFile(t, "muldenring"))
	after := strings.NewReplacer(
		"version: \"2026-11\"", "version: \"2026-12\"\n    acceptVersions: [\"2026-11\"]",
		"    priority: 3", "    priority: 4", "name: haulier-8", "name: haulier-9",
		keyHash("key-haulier-1"), keyHash("another"),
		"address: 127.0.0.1:7103", "address: 127.0.0.1:7103\n    state: leaving",
	).Replace(before)
	current, _ := Parse([]byte(before), "old")
	next, problems := Parse([]byte(after), "new")
	check.NoErr(problems.Err())
	check.True(Compare(current, current).Empty())
	var text strings.Builder
	check.NoErr(Compare(current, next).WriteTable(&text))
	for _, line := range []string{
		"change models dispatch-llm version 2026-11 2026-12", "change classes tender-summary priority 3 4",
		"change engines wien-3 state active leaving", "add tenants haulier-9", "remove tenants haulier-8",
		"change tenants haulier-1 keyHashes " + keyHash("key-haulier-1")[:8] + " " + keyHash("another")[:8],
	} {
		check.True(strings.Contains(strings.Join(strings.Fields(text.String()), " "), line))
	}
	check.Equal(len(Compare(nil, next).Changes), 1+1+1+4+2+12+3+8) // everything is new
}

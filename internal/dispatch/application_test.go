package dispatch

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// fakeTable is a Claimer and AnswerStore shared by several routers.
type fakeTable struct {
	mutex   sync.Mutex
	records map[claim.Key]claim.Record
	answers map[string]Answer
	down    bool
	loads   int
	// lostFinishes is the number of outcomes still to be recorded but reported as failed.
	lostFinishes int
}

func (f *fakeTable) Claim(_ context.Context, key claim.Key, digest claim.Digest) (claim.Grant, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return claim.Grant{}, fault.New(fault.StoreUnavailable, "down")
	}
	record, found := f.records[key]
	if found && record.Digest != digest {
		return claim.Grant{}, fault.New(fault.KeyReused, "another request")
	}
	if found && record.State != claim.StateNotRun {
		return claim.Grant{Record: record}, nil
	}
	record = claim.Record{ClaimID: ident.NewUniqueID(), State: claim.StateClaimed, Digest: digest}
	f.records[key] = record
	return claim.Grant{Acquired: true, Record: record}, nil
}

func (f *fakeTable) Finish(_ context.Context, key claim.Key, claimID string, outcome claim.Outcome) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	record := f.records[key]
	if record.ClaimID != claimID {
		return fault.New(fault.Conflict, "another claim")
	}
	record.State = map[fault.Ran]claim.State{fault.RanNo: claim.StateNotRun, fault.RanYes: claim.StateRan, fault.RanUnknown: claim.StateUnknown}[outcome.Ran]
	record.Status, record.AnswerZone, record.AnswerKey = outcome.Status, outcome.AnswerZone, outcome.AnswerKey
	f.records[key] = record
	if f.lostFinishes > 0 {
		f.lostFinishes--
		return fault.New(fault.StoreUnavailable, "no answer")
	}
	return nil
}

func (f *fakeTable) Save(_ context.Context, _ ident.Zone, claimID string, answer Answer) (string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answers[claimID] = answer
	return claimID, nil
}

func (f *fakeTable) Load(_ context.Context, _ ident.Zone, key string) (Answer, bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loads++
	answer, found := f.answers[key]
	return answer, found, nil
}

// fakeApplications runs requests at addresses "a" and "b"; the script lists how
// each call ends: "ok", "lost" (executed, answer lost), "refused", "unreachable".
type fakeApplications struct {
	mutex    sync.Mutex
	script   []string
	executed int
}

func (f *fakeApplications) Call(ctx context.Context, _ string, request engine.ApplicationRequest) (engine.ApplicationResponse, error) {
	f.mutex.Lock()
	step := "ok"
	if len(f.script) > 0 {
		step, f.script = f.script[0], f.script[1:]
	}
	if step == "ok" || step == "lost" {
		f.executed++
	}
	f.mutex.Unlock()
	if !wait.For(ctx, time.Second) {
		return engine.ApplicationResponse{}, fault.New(fault.BackendLost, "cancelled").WithRan(fault.RanUnknown)
	}
	switch step {
	case "lost":
		return engine.ApplicationResponse{}, fault.New(fault.BackendLost, "cut").WithRan(fault.RanUnknown)
	case "refused":
		return engine.ApplicationResponse{}, refusal(protocol.RefusalFull, "a0")
	case "unreachable":
		return engine.ApplicationResponse{}, fault.New(fault.BackendLost, "no byte left")
	}
	return engine.ApplicationResponse{Status: http.StatusCreated, Body: append([]byte("done "), request.Body...)}, nil
}

func (f *fakeApplications) PlaceApplication(_ context.Context, job *ApplicationJob) (ApplicationPlacement, error) {
	for _, name := range []ident.Application{"a", "b"} {
		if !job.Excluded[name] {
			return ApplicationPlacement{Application: name, Address: string(name), Zone: "z"}, nil
		}
	}
	return ApplicationPlacement{}, fault.New(fault.NoPermittedEngine, "none left")
}

func newRouters(count int, script ...string) ([]*Dispatcher, *fakeApplications, *fakeTable) {
	applications := &fakeApplications{script: script}
	table := &fakeTable{records: map[claim.Key]claim.Record{}, answers: map[string]Answer{}}
	var routers []*Dispatcher
	for range count {
		routers = append(routers, New(Config{}, Dependencies{
			Applications: applications, ApplicationPlacer: applications, Claimer: table, Answers: table,
			Budget: &fakeBudget{retries: 10}, NewChart: func(bool) Chart { return &fakeChart{} },
		}))
	}
	return routers, applications, table
}

func booking() *ApplicationJob {
	return &ApplicationJob{ID: "r", Tenant: "graz", Service: "bay", IdempotencyKey: "k", Method: "POST", Path: "/book", Body: []byte("bay 7"), Zones: map[ident.Zone]bool{"z": true}}
}

// bookingCase is one script with the result that the callers must get.
type bookingCase struct {
	script   []string
	executed int
	status   int
	ran      fault.Ran
}

// sendMany sends one booking ten times concurrently, spread over the routers.
func (c bookingCase) sendMany(t *testing.T, routers []*Dispatcher) {
	is := is.NewRelaxed(t)
	var group sync.WaitGroup
	for sending := range 10 {
		group.Go(func() {
			answer, err := routers[sending%len(routers)].RunApplication(t.Context(), booking())
			switch {
			case err == nil:
				is.Equal(answer.Status, c.status)
			case fault.Is(err, fault.AlreadyClaimed): // the other router's run is active
				is.Equal(fault.From(err).Ran, fault.RanUnknown)
			default:
				is.Equal(fault.From(err).Ran, c.ran)
			}
		})
	}
	group.Wait()
}

// retry sends the booking again after its outcome was recorded.
func (c bookingCase) retry(t *testing.T, router *Dispatcher) {
	is := is.New(t)
	answer, err := router.RunApplication(t.Context(), booking())
	if c.status == 0 {
		is.True(fault.Is(err, fault.OutcomeUnknown))
		is.Equal(fault.From(err).Ran, fault.RanUnknown)
		return
	}
	is.NoErr(err)
	is.Equal(string(answer.Body), "done bay 7")
	is.True(answer.Replayed)
}

// Of many concurrent requests under one key at two routers, at most one may run,
// by the application's own count, and all callers must get its true result.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	cases := map[string]bookingCase{
		"answered":               {[]string{"ok"}, 1, http.StatusCreated, fault.RanYes},
		"answer lost":            {[]string{"lost"}, 1, 0, fault.RanUnknown},
		"refused, then answered": {[]string{"refused"}, 1, http.StatusCreated, fault.RanYes},
		"refused, then lost":     {[]string{"refused", "lost"}, 1, 0, fault.RanUnknown},
		"refused everywhere":     {[]string{"refused", "unreachable"}, 0, 0, fault.RanNo},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				routers, applications, _ := newRouters(2, c.script...)
				c.sendMany(t, routers)
				for _, router := range routers {
					router.Close()
				}
				is.Equal(applications.executed, c.executed)
				if c.ran == fault.RanNo {
					return // the key is free again
				}
				for _, router := range routers {
					c.retry(t, router)
					router.Close()
				}
				is.Equal(applications.executed, c.executed)
			})
		})
	}
}

// A refusal must not be replayed to later requests: once the key is free again,
// another router may run the request.
func TestRefusalIsNotReplayedAfterKeyIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		routers, applications, table := newRouters(2, "refused", "refused")
		table.lostFinishes = 1
		_, err := routers[0].RunApplication(t.Context(), booking())
		is.Equal(fault.From(err).Ran, fault.RanNo)
		synctest.Wait() // the key is free, not yet confirmed to the first router
		_, err = routers[1].RunApplication(t.Context(), booking())
		is.NoErr(err)
		synctest.Wait() // an answer is returned before it is recorded
		answer, err := routers[0].RunApplication(t.Context(), booking())
		is.NoErr(err) // not the earlier refusal
		is.True(answer.Replayed)
		for _, router := range routers {
			router.Close()
		}
		is.Equal(applications.executed, 1)
	})
}

func TestClaimedRunContinuesAfterCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		routers, applications, _ := newRouters(1)
		ctx, leave := context.WithTimeout(t.Context(), time.Millisecond)
		defer leave()
		_, err := routers[0].RunApplication(ctx, booking())
		is.True(fault.Is(err, fault.AlreadyClaimed))
		is.Equal(fault.From(err).Ran, fault.RanUnknown)
		answer, err := routers[0].RunApplication(t.Context(), booking())
		is.NoErr(err)
		is.Equal(string(answer.Body), "done bay 7")
		routers[0].Close()
		is.Equal(applications.executed, 1)
	})
}

func TestInvalidClaimIsRefusedBeforeExecution(t *testing.T) {
	cases := map[string]struct {
		change func(*ApplicationJob, *fakeTable)
		kind   fault.Kind
	}{
		"no key":          {func(job *ApplicationJob, _ *fakeTable) { job.IdempotencyKey = "" }, fault.MissingIdempotencyKey},
		"store down":      {func(_ *ApplicationJob, table *fakeTable) { table.down = true }, fault.StoreUnavailable},
		"key reused":      {func(job *ApplicationJob, _ *fakeTable) { job.Body = []byte("bay 8") }, fault.KeyReused},
		"key, other path": {func(job *ApplicationJob, _ *fakeTable) { job.Path = "/charge" }, fault.KeyReused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				routers, applications, table := newRouters(2)
				if c.kind == fault.KeyReused {
					_, err := routers[0].RunApplication(t.Context(), booking())
					is.NoErr(err)
				}
				before := applications.executed
				job := booking()
				c.change(job, table)
				for _, router := range routers {
					_, err := router.RunApplication(t.Context(), job)
					is.True(fault.Is(err, c.kind))
					is.Equal(fault.From(err).Ran, fault.RanNo)
					router.Close()
				}
				is.Equal(applications.executed, before)
			})
		})
	}
}

// An answer must not be read from a zone that the tenant may no longer use.
func TestRetainedAnswerStaysInPermittedZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		routers, applications, table := newRouters(2)
		_, err := routers[0].RunApplication(t.Context(), booking())
		is.NoErr(err)
		routers[0].Close()
		job := booking()
		job.Zones = map[ident.Zone]bool{"elsewhere": true}
		for _, router := range routers {
			_, err = router.RunApplication(t.Context(), job)
			is.True(fault.Is(err, fault.AlreadyClaimed))
			is.Equal(fault.From(err).Ran, fault.RanYes)
			router.Close()
		}
		is.Equal(table.loads, 0)
		is.Equal(applications.executed, 1)
	})
}

func TestRetryableRequestIsRetriedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		routers, applications, _ := newRouters(1, "lost", "ok", "lost", "lost")
		job := booking()
		job.Retryable, job.IdempotencyKey = true, ""
		answer, err := routers[0].RunApplication(t.Context(), job)
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusCreated)
		_, err = routers[0].RunApplication(t.Context(), job)
		is.Equal(fault.From(err).Ran, fault.RanUnknown)
		is.Equal(applications.executed, 4)
	})
}

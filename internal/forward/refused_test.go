package forward_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
)

// ending is how one attempt may end.
type ending struct {
	name   string
	answer answer
	// mayRun is whether the back end may have run the request, or may run it later.
	mayRun bool
}

// endings are the ways in which an attempt may end without a complete success.
var endings = []ending{
	{"refused before execution", refusing(forward.NotExecuted), false},
	{"refused by another instance", refusing(forward.OtherInstance), false},
	{"refused with other weights", refusing(forward.OtherVersion), false},
	{"not sent", failing(false), false},
	{"sent, connection reset", failing(true), true},
	{"sent, nothing answered", hanging(""), true},
	{"an invalid answer", reply(forward.InvalidAnswer, http.StatusOK, strings.NewReader("x")), true},
	{"failed by the back end", genuine(http.StatusInternalServerError, "failed"), true},
	{"answer cut off", breaking("id: 0\ndata: x\n\n"), true},
	{"answer stalled", hanging("id: 0\ndata: x\n\n"), true},
}

// promisesNotRun are the statuses that tell a client that its request has not run and never will.
var promisesNotRun = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// A request that may not run twice must be refused with a status that promises that it has not run
// only if no attempt of it may have run, whatever its attempts ended with.
func TestRefusalPromisesOnlyWhatIsTrue(t *testing.T) {
	for _, route := range []string{"unsafe", "stream"} {
		for _, first := range endings {
			for _, second := range endings {
				for _, third := range endings {
					synctest.Test(t, func(t *testing.T) { requireTruePromise(t, route, []ending{first, second, third}) })
				}
			}
		}
	}
}

// requireTruePromise sends a request whose attempts end in turn, the last of them repeatedly.
func requireTruePromise(t *testing.T, route string, sequence []ending) {
	t.Helper()
	is := is.New(t)
	var answers []answer
	for _, next := range sequence {
		answers = append(answers, next.answer)
	}
	b := newFixture(answers...)
	sink := b.forward(t, request(route))
	if sink.refusal == nil {
		return
	}
	mayRun := false
	for index := range b.caller.sent() {
		mayRun = mayRun || sequence[min(index, len(sequence)-1)].mayRun
	}
	status := sink.refusal.Kind.Status()
	is.True(status >= 400)
	if mayRun && slices.Contains(promisesNotRun, status) {
		t.Errorf("%s, %v: status %d, but it may have run", route, sequence, status)
	}
}

// After an attempt that may have run, no other may begin.
func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, first := range endings {
		if !first.mayRun {
			continue
		}
		t.Run(first.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(first.answer, genuine(http.StatusOK, "again"))
				b.forward(t, request("unsafe"))
				is.Equal(len(b.caller.sent()), 1)
			})
		})
	}
}

// A refusal whose body does not end must be passed on at once: it is true, and its caller can go on.
func TestRefusalWithoutEndIsPassedOnAtOnce(t *testing.T) {
	tests := []struct {
		name string
		body func(ctx context.Context) io.Reader
	}{
		{"slow", func(ctx context.Context) io.Reader {
			return io.MultiReader(strings.NewReader("no"), &waitingReader{ctx: ctx})
		}},
		{"endless", func(context.Context) io.Reader { return endlessReader{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
					return reply(forward.NotExecuted, http.StatusServiceUnavailable, tt.body(ctx))(ctx, attempt)
				})
				wanted := request("unsafe")
				sink := b.forward(t, wanted)
				is.True(sink.refusal != nil)
				is.Equal(sink.refusal.Ran, fault.RanNo)
				is.True(sink.at.Sub(wanted.ReceivedAt) <= time.Second)
			})
		})
	}
}

// endlessReader is a body without an end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

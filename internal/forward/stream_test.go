package forward_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/forward"
)

const (
	one   = "id: 1\ndata: a\n\n"
	two   = "id: 2\ndata: b\n\n"
	three = "id: 3\ndata: c\n\n"

	unnumbered = "data: a\n\n"
	comment    = ": alive\n\n"
)

// longUnnumbered is an event without an id that is longer than the buffer of a connection.
var longUnnumbered = "data: " + strings.Repeat("x", 5000) + "\n\n"

func TestStreamsAreCompleteAndInOrder(t *testing.T) {
	cases := []struct {
		name    string
		route   string
		answers []answer
		body    string
		whole   bool
		sends   int
		// after is the event that the second attempt continues after.
		after string
	}{
		{"passed on unchanged", "stream", []answer{genuine(200, one+two)}, one + two, true, 1, ""},
		{"ended partway through an event", "stream", []answer{genuine(200, one+"id: 2\ndata")}, one, false, 1, ""},
		{"a break", "stream", []answer{breaking(one)}, one, false, 1, ""},
		{"continued elsewhere", "resumable", []answer{breaking(one + "id: 2\nda"), genuine(200, two+three)}, one + two + three, true, 2, "1"},
		{"events are not passed on twice", "resumable", []answer{breaking(one + two), genuine(200, one+two+three)}, one + two + three, true, 2, "2"},
		{"continued with a missing event", "resumable", []answer{breaking(one), genuine(200, three)}, one, false, 2, "1"},
		{"a refused continuation", "resumable", []answer{breaking(one), genuine(500, "no")}, one, false, 2, "1"},
		{"broken again", "resumable", []answer{breaking(one), breaking(two)}, one + two, false, 2, "1"},
		{"restarted when nothing was passed on", "resumable", []answer{breaking(""), genuine(200, one+two)}, one + two, true, 2, ""},
		{"an event without an id", "resumable", []answer{breaking(unnumbered), genuine(200, unnumbered+one)}, unnumbered, false, 1, ""},
		{"a long event without an id", "resumable", []answer{breaking(longUnnumbered), genuine(200, one)}, longUnnumbered, false, 1, ""},
		{"stalled after an event without an id", "resumable", []answer{hanging(one + unnumbered), genuine(200, two)}, one + unnumbered, false, 1, ""},
		{"continued after a comment", "resumable", []answer{breaking(one + comment), genuine(200, two)}, one + comment + two, true, 2, "1"},
		{"stalled", "resumable", []answer{hanging(one), genuine(200, two)}, one + two, true, 2, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(c.answers...)
				sink := b.forward(t, request(c.route))
				is.Equal(sink.body.String(), c.body)
				is.Equal(sink.aborted, !c.whole)
				sent := b.caller.sent()
				is.Equal(len(sent), c.sends)
				if c.sends > 1 {
					is.Equal(sent[1].LastEventID, c.after)
				}
				is.Equal(b.backends.InFlight(), 0)
			})
		})
	}
}

func TestContinuedStreamKeepsFirstHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		other := func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			reply, err := genuine(200, two)(ctx, attempt)
			reply.Header.Set("Seal", "other")
			return reply, err
		}
		b := newFixture(breaking(one), other)
		sink := b.forward(t, request("resumable"))
		is.Equal(sink.body.String(), one+two)
		is.Equal(sink.header.Get("Seal"), "200")
	})
}

func TestClientResumesAfterItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(genuine(200, two+three))
		wanted := request("resumable")
		wanted.LastEventID = "2"
		sink := b.forward(t, wanted)
		is.Equal(sink.body.String(), three)
		is.Equal(b.caller.sent()[0].LastEventID, "2")
	})
}

func TestStreamEndsAtRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(hanging(one))
		begun := time.Now()
		sink := b.forward(t, request("stream"))
		is.True(sink.aborted)
		is.Equal(time.Since(begun), 5*time.Second)
	})
}

package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

var testKey = []byte("a key of a test cluster")

type question struct {
	Text string `cbor:"1,keyasint"`
}

type answer struct {
	Length int `cbor:"1,keyasint"`
}

// start returns a server's address and the texts that its handler received.
func start(t *testing.T, tamper func(next http.Handler) http.Handler) (string, *[]string) {
	server, err := NewServer(testKey, 1024)
	is.New(t).NoErr(err)
	var ran []string
	is.New(t).NoErr(Handle(server, "measure", func(_ context.Context, asked question) (answer, error) {
		ran = append(ran, asked.Text)
		switch asked.Text {
		case "fault":
			return answer{}, fault.New(fault.Conflict, "version 7 won").WithRemedy("look again").
				WithRan(fault.RanYes).WithRetryAfter(1500 * time.Millisecond)
		case "plain":
			return answer{}, errors.New("an untyped error")
		case "long":
			return answer{}, fault.New(fault.Conflict, "%s", strings.Repeat("x", 5000))
		}
		return answer{Length: len(asked.Text)}, nil
	}))
	listener := httptest.NewServer(tamper(server))
	t.Cleanup(listener.Close)
	return listener.Listener.Addr().String(), &ran
}

func untouched(next http.Handler) http.Handler { return next }

// editing changes requests before they reach the server.
func editing(edit func(request *http.Request)) func(next http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			edit(request)
			next.ServeHTTP(writer, request)
		})
	}
}

func TestCall(t *testing.T) {
	forged := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte{0xa1, 0x01, 0x05})
		})
	}
	cases := map[string]struct {
		tamper  func(next http.Handler) http.Handler
		key     string
		method  string
		request any
		kind    fault.Kind
		ran     int
	}{
		"answered":              {untouched, string(testKey), "measure", question{"abc"}, "", 1},
		"another cluster's key": {untouched, "a key of other people", "measure", question{"abc"}, fault.Unauthorized, 0},
		"changed MAC":           {editing(func(r *http.Request) { r.Header.Set(macHeader, "00") }), string(testKey), "measure", question{"abc"}, fault.Unauthorized, 0},
		"changed method":        {editing(func(r *http.Request) { r.URL.Path = Prefix + "measure" }), string(testKey), "other", question{"abc"}, fault.Unauthorized, 0},
		"changed nonce":         {editing(func(r *http.Request) { r.Header.Set(nonceHeader, strings.Repeat("0", 32)) }), string(testKey), "measure", question{"abc"}, fault.Unauthorized, 0},
		"changed body":          {editing(func(r *http.Request) { r.Body = http.NoBody }), string(testKey), "measure", question{"abc"}, fault.Unauthorized, 0},
		"forged reply":          {forged, string(testKey), "measure", question{"abc"}, fault.Unauthorized, 0},
		"oversize":              {untouched, string(testKey), "measure", question{strings.Repeat("x", 2000)}, fault.TooLarge, 0},
		"oversize reply":        {untouched, string(testKey), "measure", question{"long"}, fault.TooLarge, 1},
		"unknown method":        {untouched, string(testKey), "other", question{"abc"}, fault.UnknownRoute, 0},
		"malformed method":      {untouched, string(testKey), "Other/../x", question{"abc"}, fault.Unauthorized, 0},
		"wrong body type":       {untouched, string(testKey), "measure", []int{1}, fault.BadRequest, 0},
		"fault":                 {untouched, string(testKey), "measure", question{"fault"}, fault.Conflict, 1},
		"untyped error":         {untouched, string(testKey), "measure", question{"plain"}, fault.Internal, 1},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, ran := start(t, each.tamper)
			client, err := NewClient([]byte(each.key), 4096)
			is.NoErr(err)
			defer client.Close()
			var reply answer
			err = client.Call(context.Background(), address, each.method, each.request, &reply)
			if each.kind == "" {
				is.NoErr(err)
				is.Equal(reply.Length, 3)
			} else {
				is.True(fault.Is(err, each.kind))
				is.Equal(reply, answer{})
			}
			is.Equal(len(*ran), each.ran)
		})
	}
}

func TestFaultRoundTrip(t *testing.T) {
	is := is.New(t)
	address, _ := start(t, untouched)
	client, err := NewClient(testKey, 0)
	is.NoErr(err)
	defer client.Close()
	received := fault.From(client.Call(context.Background(), address, "measure", question{"fault"}, &answer{}))
	is.Equal(*received, fault.Fault{
		Kind: fault.Conflict, Detail: "version 7 won", Remedy: "look again",
		Ran: fault.RanYes, RetryAfter: 1500 * time.Millisecond,
	})
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	client, err := NewClient(testKey, 0)
	is.NoErr(err)
	err = client.Call(context.Background(), "127.0.0.1:1", "measure", question{}, &answer{})
	is.True(fault.Is(err, fault.BackendLost))
	is.Equal(fault.From(err).Ran, fault.RanUnknown)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	err = client.Call(ended, "127.0.0.1:1", "measure", question{}, &answer{})
	is.True(fault.Is(err, fault.Timeout))
	_, err = NewServer([]byte("short"), 0)
	is.True(fault.Is(err, fault.InvalidSettings))
}

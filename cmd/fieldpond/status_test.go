package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/status"
)

// serveStatus returns the address of a router that answers with code and body.
func serveStatus(t *testing.T, code int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != status.Path {
			code = http.StatusNotFound
		}
		writer.WriteHeader(code)
		_, _ = writer.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const firstStatus = `{"node":"n1","zone":"z1","state":"serving","fleet_version":3,
 "members":[{"node":"n1","zone":"z1","address":"10.0.0.1:1","state":"alive","fleet_version":3},
            {"node":"n2","zone":"z2","address":"10.0.0.2:1","state":"suspect","fleet_version":1},
            {"node":"n3","zone":"z2","address":"10.0.0.3:1","state":"dead","fleet_version":1}],
 "engines":[{"engine":"e1","zone":"z1","incarnation":"0123456789abcdef","alive":true,"running":3,"waiting":1,"queued_prefill_tokens":900,
             "own_in_flight":2,"concurrency_limit":8,"loaded":[{"model":"m","version":"v2"},{"model":"m","version":"v1"}]},
            {"engine":"e2","zone":"z2","alive":false},
            {"engine":"e3","zone":"z2","incarnation":"ab","alive":true,"leaving":true}],
 "applications":[{"application":"a1","zone":"z1","incarnation":"cd","alive":true,"running":4,"own_in_flight":1}],
 "queue":{"waiting":5,"in_flight":2,"by_priority":[{"priority":0,"waiting":2},{"priority":3,"waiting":3}]},
 "decisions":{"placed":40,"held":7,"refused":1,"prompt_tokens":1000,"credited_tokens":620,"cached_tokens":615,"belief_high":2,"belief_right":37,"belief_low":1},
 "claims":{"granted":9,"shown":4,"refused":1,"waiting":2},
 "gossip":{"bytes_sent":4096,"bytes_received":100,"refused":6},
 "control":[{"lease":"control/a","held":true,"fence":7,"holder":"n1","engines":12,"settled":5,"loading":2,"orders":9,"repeated":1,"refused":3,"put_off":4,"stale_fences":1},
            {"lease":"control/b","orders":5,"contenders":["n3","n4"]},{"lease":"control/c","contenders":["n3"]}],
 "rings":[{"name":"quiet","capacity":8},{"name":"full","depth":8,"capacity":8,"dropped":11}]}`

const secondStatus = `{"node":"n2","zone":"z2","state":"starting","fleet_version":2,"engines":[{"engine":"e1","zone":"z1"}],"applications":[{"application":"a1","own_in_flight":2}],
 "control":[{"lease":"control/a","holder":"n1"},{"lease":"control/b","contenders":["n3","n4"]},{"lease":"control/c","holder":"n3"}]}`

// squeezeBlanks replaces every run of blanks in a table by one.
func squeezeBlanks(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	return strings.Join(lines, "\n")
}

const wantTable = `fleet version 3 in force on 1 of 2 live routers; lagging: n2 (version 2)

MEMBER ZONE STATE VERSION ADDRESS
n1 z1 alive 3 10.0.0.1:1
n2 z2 suspect 2 (lags) 10.0.0.2:1
n3 z2 dead 1 10.0.0.3:1

ENGINE ZONE STATE ALIVE TO INCARNATION RUNNING WAITING PREFILL QUEUE LIMIT LOADED
e1 z1 alive 1 of 2 89abcdef 3 1 900 2 of 8 m:v1 m:v2
e2 z2 dead 0 of 2 - 0 0 0 0 of no limit -
e3 z2 leaving 1 of 2 ab 0 0 0 0 of no limit -

APPLICATION ZONE STATE ALIVE TO INCARNATION RUNNING IN FLIGHT
a1 z1 alive 1 of 2 cd 4 3

ROUTER STATE WAITING IN FLIGHT PLACED HELD REFUSED BELIEVED FOUND TOO HIGH RIGHT TOO LOW
n1 serving 5 (p0:2 p3:3) 2 40 7 1 62.0 % 61.5 % 2 37 1
n2 starting 0 0 0 0 0 - - 0 0 0

CONTROL LEASE HOLDER FENCE SETTLED LOADING ORDERS REPEATED REFUSED UNLOADS PUT OFF STALE FENCES
control/a n1 7 5 of 12 2 9 1 3 4 1
control/b not seen (contenders: n3, n4) - - - - - - - -
control/c n3 (ask it) - - - - - - - -

ROUTER CLAIMS GRANTED SHOWN REFUSED WAITING GOSSIP OUT GOSSIP IN GOSSIP REFUSED RING ITEMS DROPPED
n1 9 4 1 2 4 KiB 100 B 6 full: 11
n2 0 0 0 0 0 B 0 B 0 none`

func TestStatusTable(t *testing.T) {
	is := is.New(t)
	routers := serveStatus(t, 200, firstStatus) + "," + serveStatus(t, 200, secondStatus)
	output, _, err := run("status", "--routers", routers)
	is.NoErr(err)
	is.Equal(squeezeBlanks(output), wantTable)
}

func TestStatusReportsUnansweredRouters(t *testing.T) {
	good := serveStatus(t, 200, firstStatus)
	cases := []struct {
		name, routers, wantOutput string
		kind                      fault.Kind
		answered                  int
	}{
		{"one fails", good + "," + serveStatus(t, 500, ""), "HTTP status 500", fault.Timeout, 1},
		{"no status", serveStatus(t, 200, "<html>"), "the response is not a router status", fault.Timeout, 0},
		{"no node", serveStatus(t, 200, "{}"), "the response has no node name", fault.Timeout, 0},
		{"nobody listens", freeAddress(t), "no answer", fault.Timeout, 0},
		{"malformed", "a b", "the address is malformed", fault.Timeout, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			output, _, err := run("status", "--routers", test.routers, "-o", "json")
			is.True(fault.Is(err, test.kind))
			var report statusReport
			is.NoErr(json.Unmarshal([]byte(output), &report))
			is.Equal(len(report.Routers), test.answered)
			is.Equal(len(report.Unanswered), 1)
			is.True(strings.Contains(report.Unanswered[0], test.wantOutput))
			output, _, _ = run("status", "--routers", test.routers)
			is.True(strings.Contains(output, test.wantOutput))
		})
	}
}

package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

func exampleFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + "/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestExamplesAreValid(t *testing.T) {
	sizes := map[string][3]int{"muldenring": {12, 3, 8}, "parking": {18, 4, 8}}
	for name, size := range sizes {
		check := is.NewRelaxed(t)
		document, problems := Parse(exampleFile(t, name), name)
		check.Equal(len(problems), 0)
		check.Equal([3]int{len(document.Engines), len(document.Applications), len(document.Tenants)}, size)
	}
}

// TestParseReportsProblem edits the Muldenring example and checks that the problem is
// reported with its path, message, line and remedy.
func TestParseReportsProblem(t *testing.T) {
	cases := []struct {
		name, old, new string
		path, message  string
		severity       Severity
	}{
		{"unknown key", "    priority: 3", "    prio: 3", "classes[3].prio", "not a known key", SeverityError},
		{"repeated key", "name: muldenring", "name: a\nname: muldenring", "name", "is given twice", SeverityError},
		{"wrong type", "    priority: 3", "    priority: high", "classes[3].priority", "not a whole number", SeverityError},
		{"text required", "version: \"2026-11\"", "version: 11", "models[0].version", "not text", SeverityError},
		{"list required", "zones: [wien-halle, linz-halle, graz-halle]", "zones: 3", "regions[0].zones", "not a list", SeverityError},
		{"mapping required", "  - name: ost-at\n    zones: [wien-halle, linz-halle, graz-halle]", "  - ost-at", "regions[0]", "not a mapping", SeverityError},
		{"null", "models: [dispatch-llm]", "models:", "engines[0].models", "no value", SeverityError},
		{"missing name", "  - name: wien-1\n    address", "  - address", "engines[0].name", "missing", SeverityError},
		{"schema", "schema: fieldpond/v1", "schema: fieldpond/v9", "schema", "does not read", SeverityError},
		{"number not finite", "recomputationWeight: 2.0", "recomputationWeight: .inf", "services[0].objective.recomputationWeight", "not a number", SeverityError},
		{"too large", "recomputationWeight: 2.0", "recomputationWeight: 101", "services[0].objective.recomputationWeight", "too large", SeverityError},
		{"negative duration", "maxHold: 10s", "maxHold: -1s", "classes[3].maxHold", "too small", SeverityError},
		{"no unit", "maxHold: 10s", "maxHold: 10", "classes[3].maxHold", "not a duration", SeverityError},
		{"zero is the default", "maxHold: 10s", "maxHold: 0s", "classes[3].maxHold", "read as the default", SeverityError},
		{"bad name", "- name: wien-1\n", "- name: wien/1\n", "engines[0].name", "not a valid name", SeverityError},
		{"repeated engine", "- name: wien-2\n", "- name: wien-1\n", "engines[1].name", "repeats the name", SeverityError},
		{"engine named as application", "- name: dispatch-wien\n", "- name: wien-1\n", "applications[0].name", "also an engine", SeverityError},
		{"repeated tenant", "name: haulier-2\n", "name: haulier-1\n", "tenants[1].name", "repeats the name", SeverityError},
		{"region named as zone", "- name: ost-at", "- name: wien-halle", "regions[0].name", "also a zone", SeverityError},
		{"unknown zone", "zone: graz-halle", "zone: graz-hall", "engines[8].zone", "does not define", SeverityError},
		{"unknown model of engine", "models: [dispatch-llm]", "models: [other]", "engines[0].models[0]", "does not define", SeverityError},
		{"unknown model", "    model: dispatch-llm", "    model: other", "services[0].model", "does not define", SeverityError},
		{"no model", "    model: dispatch-llm\n", "", "services[0].model", "is missing", SeverityError},
		{"unknown adapter", "    model: dispatch-llm\n", "    model: dispatch-llm\n    adapter: a\n", "services[0].adapter", "does not list", SeverityError},
		{"unknown class", "classes: [container-order, cancellation]", "classes: [nothing]", "services[1].classes[0]", "does not define", SeverityError},
		{"unknown kind", "kind: application", "kind: app", "services[1].kind", "\"app\"", SeverityError},
		{"not a boolean", "path: /orders\n        repeatable: true\n", "path: /orders\n        repeatable: yes-please\n", "services[1].routes[2].repeatable", "not true or false", SeverityError},
		{"routes of a model", "    model: dispatch-llm\n", "    model: dispatch-llm\n    routes: [{method: GET, path: /x}]\n", "services[0].routes", "model service", SeverityError},
		{"repeated route", "path: /cancellations", "path: /bookings", "services[1].routes[1]", "repeats POST", SeverityError},
		{"path without slash", "path: /orders", "path: orders", "services[1].routes[2].path", "does not start with /", SeverityError},
		{"application of a model service", "services: [bookings]", "services: [dispatch-assistant]", "applications[0].services[0]", "not an application service", SeverityError},
		{"host name", "127.0.0.1:7101", "localhost:7101", "engines[0].address", "not an IP address", SeverityError},
		{"no port", "127.0.0.1:7101", "127.0.0.1", "engines[0].address", "not an IP address", SeverityError},
		{"repeated address", "127.0.0.1:7201", "127.0.0.1:7101", "applications[0].address", "also the address of engines[0]", SeverityError},
		{"version accepted twice", "version: \"2026-11\"", "version: \"2026-11\"\n    acceptVersions: [\"2026-11\"]", "models[0].acceptVersions[0]", "own version", SeverityError},
		{"unknown place", "places: [graz-halle]", "places: [graz]", "tenants[5].places[0]", "neither a zone nor a region", SeverityError},
		{"unknown service", "services: [dispatch-assistant, bookings]", "services: [x]", "tenants[0].services[0]", "does not define", SeverityError},
		{"short key hash", keyHash("key-haulier-1"), "abc", "tenants[0].keyHashes[0]", "not a SHA-256", SeverityError},
		{"0x key hash", keyHash("key-haulier-1"), "0x" + keyHash("key-haulier-1")[2:], "tenants[0].keyHashes[0]", "not a", SeverityError},
		{"key of two tenants", keyHash("key-haulier-2"), strings.ToUpper(keyHash("key-haulier-1")), "tenants[1].keyHashes[0]", "also a key of tenant \"haulier-1\"", SeverityError},
		{"no back end for the tenant", "    zone: graz-halle\n    services: [bookings]", "    zone: graz-halle\n    state: leaving\n    services: [bookings]", "tenants[5].services[1]", "no active back end", SeverityWarning},
	}
	original := string(exampleFile(t, "muldenring"))
	for _, test := range cases {
		check := is.NewRelaxed(t)
		edited := strings.Replace(original, test.old, test.new, 1)
		document, problems := Parse([]byte(edited), "f.yaml")
		found := false
		for _, problem := range problems {
			if problem.Path == test.path && strings.Contains(problem.Message, test.message) && problem.Severity == test.severity {
				found = problem.Line > 0 && problem.Remedy != ""
			}
		}
		if !found || edited == original {
			t.Errorf("%s: not found among %v", test.name, problems)
		}
		check.Equal(document == nil, test.severity == SeverityError)
		check.Equal(fault.Is(problems.Err(), fault.InvalidFleet), test.severity == SeverityError)
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	check := is.New(t)
	text := "schema: fieldpond/v1\nname: n\nregions: [{name: r, zones: [z]}]\nclasses: [{name: c, colour: red}]\n" +
		"services:\n  - {name: s, kind: application, classes: [d]}\ntenants:\n  - {name: t, keyHashes: [secret-key], places: [z], services: [s], share: -1}\n"
	_, problems := Parse([]byte(text), "f.yaml")
	lines := map[string]int{}
	for _, problem := range problems {
		lines[problem.Path] = problem.Line
	}
	check.Equal(lines["classes[0].colour"], 4)
	check.Equal(lines["services[0].classes[0]"], 6)
	check.Equal(lines["services[0].routes"], 6)
	check.Equal(lines["tenants[0].keyHashes[0]"], 8)
	check.Equal(lines["tenants[0].share"], 8)
	check.True(!strings.Contains(problems.Err().Error(), "secret-key")) // the value given as a hash is never quoted
	check.True(strings.Contains(problems.Err().Error(), "line 4"))
}

func TestParseRejectsHostileFiles(t *testing.T) {
	bomb := "schema: fieldpond/v1\nname: &n [" + strings.Repeat("a,", 3000) + "]\ntenants:\n  - &t {places: *n}\n" + strings.Repeat("  - *t\n", 3000)
	cases := map[string]string{
		"empty": "", "comment": "# nothing", "not YAML": "a: [", "scalar": "7", "two documents": "a: 1\n---\nb: 2\n",
		"cycle": "tenants: &a\n  - *a\n", "nodes": "a: [" + strings.Repeat("b,", maxStructure) + "]", "depth": strings.Repeat("- ", 1<<20), "aliases": bomb, "large": strings.Repeat(" ", MaxFileBytes+1),
	}
	messages := map[string]string{"aliases": "expands into too many nodes", "nodes": "too many YAML nodes", "large": "above the limit"}
	for name, text := range cases {
		document, problems := Parse([]byte(text), name)
		if document != nil || len(problems.Errors()) == 0 {
			t.Errorf("%s: accepted", name)
		}
		if want := messages[name]; !strings.Contains(problems.Err().Error(), want) {
			t.Errorf("%s: %v does not contain %q", name, problems.Err(), want)
		}
	}
}

func TestCompiledLookups(t *testing.T) {
	check := is.New(t)
	body := exampleFile(t, "muldenring")
	document, _ := Parse(body, "f")
	compiled := Compile(document, 4, DigestOf(body))
	tenant, known := compiled.TenantByKey("key-haulier-6")
	check.True(known)
	check.Equal(tenant.Name, ident.Tenant("haulier-6"))
	check.Equal(tenant.Zones.List(), []ident.Zone{"graz-halle"})
	check.True(!compiled.PermittedZones("haulier-6").Has("wien-halle"))
	check.Equal(len(compiled.PermittedZones("haulier-1").List()), 3)
	check.True(!compiled.PermittedZones("nobody").Has("wien-halle"))
	_, known = compiled.TenantByKey("key-haulier-60")
	check.True(!known)
	bookings, _ := compiled.Service("bookings")
	route, known := bookings.Route("GET", "/orders")
	check.True(known && route.Retryable)
	_, known = bookings.Route("PUT", "/orders")
	check.True(!known)
	check.Equal(len(bookings.Applications), 3)
	assistant, _ := compiled.Service("dispatch-assistant")
	check.Equal(len(assistant.Engines), 12)
	check.Equal(assistant.Model.BlockTokens, 16)
	class, _ := assistant.Class("")
	check.Equal(class.Name, ident.Class("container-order"))
	_, offered := bookings.Class("tender-summary")
	check.True(!offered)
	check.Equal(tenant.MayUse("bays"), false)
}

// manyTenants returns a fleet file with the given number of tenants.
func manyTenants(t testing.TB, count int) []byte {
	text, _, _ := bytes.Cut(exampleFile(t, "parking"), []byte("\ntenants:"))
	var file bytes.Buffer
	file.Write(text)
	file.WriteString("\ntenants:\n")
	for index := range count {
		fmt.Fprintf(&file, "  - name: lot-%d\n    keyHashes: [%s]\n    places: [kerala]\n    services: [desk-assistant, bays]\n    share: 2\n", index, keyHash(fmt.Sprint(index)))
	}
	return file.Bytes()
}

// BenchmarkParse23000Tenants measures the time to parse the largest expected file.
func BenchmarkParse23000Tenants(b *testing.B) {
	body := manyTenants(b, 23000)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if document, problems := Parse(body, "f"); document == nil {
			b.Fatal(problems.Err())
		}
	}
}

// BenchmarkCompiledMemory23000Tenants measures the live heap of a file in force.
func BenchmarkCompiledMemory23000Tenants(b *testing.B) {
	body := manyTenants(b, 23000)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		document, _ := Parse(body, "f")
		compiled := Compile(document, 1, DigestOf(body))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "live-MiB")
		runtime.KeepAlive(compiled)
	}
}

// BenchmarkTenantByKey measures the look-up made for every request.
func BenchmarkTenantByKey(b *testing.B) {
	document, _ := Parse(manyTenants(b, 23000), "f")
	compiled := Compile(document, 1, "")
	b.ReportAllocs()
	for b.Loop() {
		if _, known := compiled.TenantByKey("17000"); !known {
			b.Fatal("unknown key")
		}
	}
}

// FuzzParse looks for panics, and for documents returned together with errors.
func FuzzParse(f *testing.F) {
	f.Add(exampleFile(f, "muldenring"))
	f.Add([]byte("tenants: &a\n  - *a\n"))
	f.Add([]byte("a: [{}, !!binary x, ? y]\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, problems := Parse(data, "f")
		if (document == nil) != (len(problems.Errors()) > 0) {
			t.Fatalf("document %v with problems %v", document != nil, problems)
		}
		if document != nil {
			Compile(document, 1, DigestOf(data))
		}
	})
}

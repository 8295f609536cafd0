package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const testKey = "0123456789abcdef0123456789abcdef"

const minimalFile = `node: router-1
zone: wien-halle
listen: 127.0.0.1:8080
gossipListen: 127.0.0.1:7946
platform: http://127.0.0.1:9000
clusterKey: {environment: FIELDPOND_TEST_KEY}
`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadReportsEveryProblem(t *testing.T) {
	t.Setenv("FIELDPOND_TEST_KEY", testKey)
	t.Setenv("FIELDPOND_SHORT_KEY", "short-and-private")
	cases := []struct {
		name, replace, by string
		want              []string
	}{
		{"unknown key and bad number", "zone: wien-halle", "zones: x\nlimits: {maxBodyBytes: many, most: 1}",
			[]string{"line 2: zones: unknown setting", "line 3: limits.maxBodyBytes: \"many\" is not a whole number", "line 3: limits.most: unknown setting", "not set: zone: is required"}},
		{"host names", "listen: 127.0.0.1:8080", "listen: localhost:80\nseeds: [\"10.0.0.1:1\", \"seed:1\"]",
			[]string{`line 3: listen: "localhost:80"`, `line 4: seeds: "seed:1"`}},
		{"platform by name", "http://127.0.0.1:9000", "http://user:pw@platform", []string{"must not contain a user name", `host "platform" is not an IP address`}},
		{"unreachable advertise", "listen: 127.0.0.1:8080", "listen: 0.0.0.0:8080", []string{`not set: advertise: "0.0.0.0:8080" cannot be reached`}},
		{"inline key", "clusterKey: {environment: FIELDPOND_TEST_KEY}", "clusterKey: " + testKey, []string{"line 6: clusterKey: must be a mapping"}},
		{"key as path", "environment: FIELDPOND_TEST_KEY", "file: " + testKey, []string{"line 6: clusterKey.file: names a file that cannot be read"}},
		{"short key", "FIELDPOND_TEST_KEY", "FIELDPOND_SHORT_KEY", []string{"line 6: clusterKey.environment: names a key of 17 bytes"}},
		{"two keys", "{environment: FIELDPOND_TEST_KEY}", "{environment: A, file: b}", []string{"clusterKey: set exactly one"}},
		{"twice", "node: router-1", "node: router-1\nnode: router-2", []string{"line 2: node: is set twice"}},
		{"ranges", "node: router-1", "node: router-1\nstopGrace: -1s\nlogLevel: loud\ntable: {requestsPerSecond: .nan, timeout: 5, claimRetention: 59m}",
			[]string{"line 2: stopGrace: -1s is not", `line 3: logLevel: "loud"`, "line 4: table.requestsPerSecond: NaN", "line 4: table.timeout:", "line 4: table.claimRetention: 59m0s is not"}},
		{"no mapping", minimalFile, "- 1", []string{"line 1: the file: must be a mapping"}},
		{"no YAML", "node:", "\tnode:", []string{"file: YAML:"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Load(writeSettings(t, strings.Replace(minimalFile, test.replace, test.by, 1)), nil)
			is.True(fault.Is(err, fault.InvalidSettings))
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q lacks %q", err, want)
				}
			}
			is.True(!strings.Contains(err.Error(), testKey))
			is.True(!strings.Contains(err.Error(), "private"))
		})
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	is := is.New(t)
	t.Setenv("FIELDPOND_TEST_KEY", testKey)
	flags := pflag.NewFlagSet("router", pflag.ContinueOnError)
	RegisterFlags(flags)
	is.NoErr(flags.Parse([]string{"--node=7", "--seeds=10.0.0.1:1,10.0.0.2:1", "--stop-grace=10s", "--limits-max-open-requests=9"}))
	settings, err := Load(writeSettings(t, minimalFile), flags)
	is.NoErr(err)
	is.Equal(settings.Node, "7")
	is.Equal(settings.Zone, "wien-halle")
	is.Equal(settings.Seeds, []string{"10.0.0.1:1", "10.0.0.2:1"})
	is.Equal(settings.StopGrace, 10*time.Second)
	is.Equal(settings.Limits.MaxOpenRequests, 9)
	is.Equal(settings.Advertise, settings.Listen)
	is.Equal(string(settings.Key().Reveal()), testKey)

	is.NoErr(flags.Set("limits-max-body-bytes", "x"))
	_, err = Load(writeSettings(t, minimalFile), flags)
	is.True(strings.Contains(err.Error(), "flag --limits-max-body-bytes: limits.maxBodyBytes:"))
}

func TestSecretIsAlwaysRedacted(t *testing.T) {
	is := is.New(t)
	secret := NewSecret([]byte(testKey))
	settings := &Settings{clusterKey: secret}
	holder := struct{ Exported Secret }{secret}
	for _, value := range []any{secret, &secret, settings, *settings, holder, []Secret{secret}, map[string]Secret{"k": secret}} {
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
			printed := fmt.Sprintf(verb, value)
			is.True(!strings.Contains(printed, testKey) && !strings.Contains(printed, fmt.Sprintf("%x", testKey)))
		}
		inJSON, err := json.Marshal(value)
		is.NoErr(err)
		inYAML, err := yaml.Marshal(value)
		is.NoErr(err)
		is.True(!strings.Contains(string(inJSON)+string(inYAML), testKey))
	}
	is.Equal(fmt.Sprintf("%d %x %#v", secret, secret, secret), "[redacted] [redacted] [redacted]")
}

// Guards against a setting without effect. The source of the cluster key is
// read by this package and covered by other tests.
func TestEverySettingIsRead(t *testing.T) {
	is := is.New(t)
	var readers []string
	for _, pattern := range []string{"../router/*.go", "../../cmd/fieldpond/*.go"} {
		found, err := filepath.Glob(pattern)
		is.NoErr(err)
		readers = append(readers, found...)
	}
	var code strings.Builder
	for _, path := range readers {
		text, err := os.ReadFile(path)
		is.NoErr(err)
		code.Write(text)
	}
	defaults := Default()
	eachLeaf("", reflect.ValueOf(&defaults).Elem(), func(path string, _ reflect.Value) {
		name := path[strings.LastIndex(path, ".")+1:]
		if !strings.HasPrefix(path, "clusterKey.") && !strings.Contains(code.String(), "."+strings.ToUpper(name[:1])+name[1:]) {
			t.Errorf("nothing reads the setting %s", path)
		}
	})
}

func TestReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("settings.go")
	is.NoErr(err)
	page, usages, err := GenerateReference(source)
	is.NoErr(err)
	committedPage, err := os.ReadFile("../../docs/reference/settings.md")
	is.NoErr(err)
	committedUsages, err := os.ReadFile("usages_generated.go")
	is.NoErr(err)
	is.Equal(string(committedPage), string(page)) // run go generate ./internal/settings
	is.Equal(string(committedUsages), string(usages))
	is.True(!strings.Contains(string(page), "|  |")) // every setting has a doc comment
}

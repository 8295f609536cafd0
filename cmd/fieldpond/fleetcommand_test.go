package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// memoryTable is a table service without faults, for one goroutine.
type memoryTable map[string]protocol.Row

func (m memoryTable) Commit(_ context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	result := protocol.TransactionResult{Committed: true}
	for _, condition := range transaction.Conditions {
		result.Rows = append(result.Rows, m[condition.Key])
		result.Committed = result.Committed && m[condition.Key].Version == condition.Version
	}
	for _, write := range transaction.Writes {
		if result.Committed {
			m[write.Key] = protocol.Row{Key: write.Key, Value: write.Value, Version: m[write.Key].Version + 1}
		}
	}
	return result, nil
}

func (m memoryTable) Read(_ context.Context, key string) (protocol.Row, bool, error) {
	row, found := m[key]
	return row, found, nil
}

func (m memoryTable) List(context.Context, string, int) (protocol.RowList, error) {
	return protocol.RowList{}, nil
}

func useMemoryTable(t *testing.T) {
	original, table := openTable, memoryTable{}
	openTable = func(string) (store.Table, error) { return table, nil }
	t.Cleanup(func() { openTable = original })
}

// run executes a command line and returns its standard and error output.
func run(arguments ...string) (string, string, error) {
	return runContext(context.Background(), arguments...)
}

func runContext(ctx context.Context, arguments ...string) (string, string, error) {
	var output, errorOutput bytes.Buffer
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(&output)
	root.SetErr(&errorOutput)
	err := root.ExecuteContext(ctx)
	return output.String(), errorOutput.String(), err
}

const exampleFile = "../../examples/muldenring/fleet.yaml"

// editedExample writes the example, with one piece replaced, to a file.
func editedExample(t *testing.T, old, replacement string) string {
	t.Helper()
	data, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(path, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckReportsLineNumbers(t *testing.T) {
	check := is.New(t)
	path := editedExample(t, "zone: wien-halle", "zone: wien")
	_, errorOutput, err := run("check", "-f", path)
	check.Equal(fault.From(err).Kind.ExitCode(), 3)
	check.True(strings.Contains(errorOutput, path+":65: error: engines[0].zone"))
	output, _, err := run("check", "-f", path, "-o", "json")
	check.True(fault.Is(err, fault.InvalidFleet))
	var report checkReport
	check.NoErr(json.Unmarshal([]byte(output), &report))
	check.True(!report.Valid && report.Problems[0].Line == 65)
	_, _, err = run("check", "-f", filepath.Join(t.TempDir(), "none"))
	check.True(fault.Is(err, fault.InvalidFleet))
}

func TestApplyThenDiff(t *testing.T) {
	check := is.New(t)
	useMemoryTable(t)
	output, _, err := run("apply", "-f", exampleFile, "--platform", "x", "--base", "0")
	check.NoErr(err)
	check.True(strings.Contains(output, "version 1 accepted"))
	output, _, err = run("apply", "-f", exampleFile, "--platform", "x")
	check.NoErr(err)
	check.True(strings.Contains(output, "nothing changed"))
	edited := editedExample(t, "share: 6", "share: 7")
	output, _, err = run("diff", "-f", edited, "--platform", "x")
	check.NoErr(err)
	check.Equal(strings.Join(strings.Fields(output), " "), "against version 1 ACTION SECTION NAME FIELD OLD NEW change tenants haulier-1 share 6 7")
	_, _, err = run("apply", "-f", edited, "--platform", "x", "--base", "7")
	check.Equal(fault.From(err).Kind.ExitCode(), 4)
	check.True(strings.Contains(err.Error(), "version 1"))
}

func TestApplyWaitsForEveryLiveRouter(t *testing.T) {
	cases := []struct {
		name, second, state string
		lags                bool
	}{
		{"second has the version", "1", "alive", false},
		{"second lags", "0", "alive", true},
		{"second is suspected", "0", "suspect", true},
		{"second is dead", "0", "dead", false},
	}
	// The first poll precedes the adoption; the last one cancels the command.
	const inForceAt, cancelAt = 2, 4
	for _, test := range cases {
		check := is.NewRelaxed(t)
		useMemoryTable(t)
		ctx, cancel := context.WithCancel(context.Background())
		var requests atomic.Int64
		router := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			version, round := "0", requests.Add(1)
			if round >= inForceAt {
				version = "1"
			}
			if round == cancelAt {
				cancel()
			}
			_, _ = writer.Write([]byte(`{"node":"n1","fleet_version":` + version + `,"members":[{"node":"n2","fleet_version":` + test.second + `,"state":"` + test.state + `"}]}`))
		}))
		address := strings.TrimPrefix(router.URL, "http://")
		output, progress, err := runContext(ctx, "apply", "-f", exampleFile, "--platform", "x", "--wait", "--routers", address, "--timeout", "10m")
		router.Close()
		cancel()
		check.True(strings.Contains(output, "version 1 accepted"))
		check.True(strings.HasPrefix(progress, "waiting for version 1 on "))
		check.Equal(fault.Is(err, fault.Timeout), test.lags)
		check.True(!test.lags || strings.Contains(err.Error(), "n2 (version 0)"))
		check.Equal(requests.Load(), map[bool]int64{false: inForceAt, true: cancelAt}[test.lags])
	}
}

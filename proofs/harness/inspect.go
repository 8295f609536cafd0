package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// historyPath is the path of the platform's table truth log.
const historyPath = "/rehearsal/history"

// Inject activates a fault of a stand-in: a faultboard.Fault for the platform
// and applications, an engine.FaultRequest for engines.
func (c *Cluster) Inject(name string, fault any) {
	c.tb.Helper()
	content, err := json.Marshal(fault)
	if err != nil {
		c.tb.Fatalf("encoding a fault for %s: %v", name, err)
	}
	c.sendFaultRequest(name, http.MethodPost, content)
}

// ClearFaults removes every fault of a stand-in.
func (c *Cluster) ClearFaults(name string) {
	c.tb.Helper()
	c.sendFaultRequest(name, http.MethodDelete, nil)
}

func (c *Cluster) sendFaultRequest(name, method string, content []byte) {
	c.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.URL(name)+faultboard.Path, bytes.NewReader(content))
	if err != nil {
		c.tb.Fatalf("faults of %s: %v", name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.tb.Fatalf("faults of %s: %v", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(response.Body)
		c.tb.Fatalf("faults of %s: status %d: %s", name, response.StatusCode, body)
	}
}

// Truth returns the truth log of an engine over all its incarnations.
func (c *Cluster) Truth(engine string) []truth.Record {
	c.tb.Helper()
	records, err := truth.Read(bytes.NewReader(c.readTruthFile(engine)))
	if err != nil {
		c.tb.Fatalf("truth log of %s: %v", engine, err)
	}
	return records
}

// Executions returns the truth log of an application over all its incarnations.
func (c *Cluster) Executions(name string) []application.Execution {
	c.tb.Helper()
	return decodeLines[application.Execution](c, name, bytes.NewReader(c.readTruthFile(name)))
}

// readTruthFile reads the truth file of a back end; it is empty if the back end
// was never started.
func (c *Cluster) readTruthFile(name string) []byte {
	c.tb.Helper()
	content, err := os.ReadFile(c.truthFile(name))
	if err != nil && !os.IsNotExist(err) {
		c.tb.Fatalf("truth log of %s: %v", name, err)
	}
	// A killed process may have left an incomplete last line.
	return content[:bytes.LastIndexByte(content, '\n')+1]
}

// AllExecutions returns the truth logs of all applications.
func (c *Cluster) AllExecutions() []application.Execution {
	c.tb.Helper()
	var all []application.Execution
	for _, name := range c.Applications {
		all = append(all, c.Executions(name)...)
	}
	return all
}

// History returns every transaction that the platform's table committed.
func (c *Cluster) History() []platform.Commit {
	c.tb.Helper()
	return readLines[platform.Commit](c, Platform, historyPath)
}

// readLines reads JSON lines from a stand-in.
func readLines[T any](c *Cluster, name, path string) []T {
	c.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL(name)+path, nil)
	if err != nil {
		c.tb.Fatalf("reading %s of %s: %v", path, name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.tb.Fatalf("reading %s of %s: %v", path, name, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeLines[T](c, name, response.Body)
}

func decodeLines[T any](c *Cluster, name string, source io.Reader) []T {
	c.tb.Helper()
	var lines []T
	decoder := json.NewDecoder(source)
	for {
		var line T
		err := decoder.Decode(&line)
		if err == io.EOF {
			return lines
		}
		if err != nil {
			c.tb.Fatalf("reading a truth log of %s: %v", name, err)
		}
		lines = append(lines, line)
	}
}

// Idle reports whether no running application is executing a request.
func (c *Cluster) Idle() bool {
	for _, name := range c.Applications {
		if c.process(name).hasExited() {
			continue
		}
		var report protocol.LoadReport
		if !c.probe(name, "/v1/load", &report) || report.Running > 0 {
			return false
		}
	}
	return true
}

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/addrtest"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/engine"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	standinplatform "github.com/fieldpond/fieldpond/standin/platform"
)

// Values that must not appear in any output; each is sent to or configured on the router.
const (
	secretCluster     = "cluster-key-4f1c9a-4f1c9a-4f1c9a-4f1c9a"
	secretKey         = "tenant-key-83b2d7"
	secretMistypedKey = "mistyped-key-5e60c1"
	secretPrompt      = "prompt-text-19d4ae"
	secretBooking     = "booking-text-77c03f"
)

const secretsFleet = `schema: fieldpond/v1
name: secrets
regions: [{name: all, zones: [z1]}]
models: [{name: m1, version: v1}]
classes: [{name: usual, maxHold: 10s}]
services:
  - {name: chat, kind: model, model: m1, classes: [usual]}
  - {name: bookings, kind: application, classes: [usual], routes: [{method: POST, path: /bookings}]}
engines: [{name: e1, address: "%s", zone: z1, models: [m1]}]
applications: [{name: a1, address: "%s", zone: z1, services: [bookings]}]
tenants: [{name: t1, keyHashes: [%x], places: [all], services: [chat, bookings]}]
`

// lockedBuffer is written by the log and read by the test.
type lockedBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// deployment is a router with its platform, in this process.
type deployment struct {
	platform, router string
	log              *lockedBuffer
}

// startBackEnds starts the stand-ins and returns the path of their fleet file.
func startBackEnds(t *testing.T) string {
	t.Helper()
	silent := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	config := model.DefaultConfig()
	config.Name, config.Zone, config.DecodePerToken = "e1", "z1", time.Millisecond
	config.Models = []protocol.LoadedModel{{Model: "m1", Version: "v1"}}
	server, err := engine.New(engine.Options{Model: config, Logger: silent})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runInBackground(t, func(ctx context.Context) error { return server.Run(ctx, listener) })
	bookings := httptest.NewServer(application.NewServer(application.Options{}))
	t.Cleanup(bookings.Close)
	text := fmt.Sprintf(secretsFleet, listener.Addr(), bookings.Listener.Addr(), sha256.Sum256([]byte(secretKey)))
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runInBackground runs a function until the test ends, and then waits for its end.
func runInBackground(t *testing.T, run func(context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// startRouter runs the router command with debug logging on a free port.
func startRouter(t *testing.T) *deployment {
	t.Helper()
	t.Setenv("FIELDPOND_SECRETS_TEST", secretCluster)
	store := httptest.NewServer(standinplatform.NewServer(standinplatform.Options{}))
	t.Cleanup(store.Close)
	started := &deployment{platform: store.URL, router: freeAddress(t), log: &lockedBuffer{}}
	root := newRootCommand()
	root.SetErr(started.log)
	root.SetArgs([]string{
		"router", "--node", "n1", "--zone", "z1", "--listen", started.router, "--gossip-listen", started.router,
		"--platform", store.URL, "--cluster-key-environment", "FIELDPOND_SECRETS_TEST", "--log-level", "debug",
	})
	runInBackground(t, root.ExecuteContext)
	return started
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return addrtest.Free(t).String()
}

// send sends a request and returns status and body; status 0 means no answer.
func (d *deployment) send(t *testing.T, method, path, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+d.router+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Idempotency-Key", "once")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// waitFor polls the path until it answers 200.
func (d *deployment) waitFor(t *testing.T, path string) {
	t.Helper()
	for range 1000 {
		if code, _ := d.send(t, http.MethodGet, path, "", ""); code == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(path, "did not answer: ", d.log.String())
}

// outputs returns everything that the deployment shows to operators, and its claim
// rows in the table.
func (d *deployment) outputs(t *testing.T) map[string]string {
	t.Helper()
	table, _, err := run("status", "--routers", d.router)
	if err != nil {
		t.Fatal(err)
	}
	client, err := store.NewHTTPClient(d.platform, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	rows, err := client.List(context.Background(), "claim", 100)
	if err != nil {
		t.Fatal(err)
	}
	claims := fmt.Sprintf("%d rows", len(rows.Rows))
	for _, row := range rows.Rows {
		claims += " " + row.Key + " " + string(row.Value)
	}
	_, metrics := d.send(t, http.MethodGet, "/metrics", "", "")
	_, statusJSON := d.send(t, http.MethodGet, "/status.json", "", "")
	return map[string]string{"log": d.log.String(), "metrics": metrics, "status.json": statusJSON, "status": table, "claims": claims}
}

// Guards against keys, prompts, bodies or answers in output or stored claims.
func TestSecretsNeverAppearInOutput(t *testing.T) {
	is := is.New(t)
	file := startBackEnds(t)
	deployed := startRouter(t)
	deployed.waitFor(t, "/healthz")
	_, progress, err := run("apply", "-f", file, "--platform", deployed.platform, "--wait", "--routers", deployed.router)
	is.NoErr(err)
	deployed.waitFor(t, "/readyz")

	chat := `{"model":"chat","max_tokens":12,"messages":[{"role":"user","content":"` + secretPrompt + `"}]}`
	code, body := deployed.send(t, http.MethodPost, "/v1/chat/completions", secretKey, chat)
	is.Equal(code, http.StatusOK)
	var answered struct {
		Choices []struct{ Message struct{ Content string } }
	}
	is.NoErr(json.Unmarshal([]byte(body), &answered))
	secretAnswer := answered.Choices[0].Message.Content
	is.True(len(secretAnswer) > 0)
	code, _ = deployed.send(t, http.MethodPost, "/v1/services/bookings/bookings", secretKey, secretBooking)
	is.Equal(code, http.StatusOK)

	// Refused requests must not appear either, not even in the refusal.
	_, unauthorized := deployed.send(t, http.MethodPost, "/v1/chat/completions", secretMistypedKey, chat)
	_, malformed := deployed.send(t, http.MethodPost, "/v1/chat/completions", secretKey, `{"model":"`+secretPrompt)

	outputs := deployed.outputs(t)
	outputs["refusals"], outputs["progress"] = unauthorized+malformed, progress
	is.True(strings.Contains(outputs["log"], "router started"))
	is.True(strings.Contains(outputs["metrics"], `fieldpond_refusals_total{kind="unauthorized",ran="no"} 1`) && strings.Contains(outputs["metrics"], "fieldpond_placement_placed_total 1"))
	is.True(strings.Contains(outputs["status"], "n1") && strings.Contains(outputs["claims"], "1 rows"))
	for _, secret := range []string{secretCluster, secretKey, secretMistypedKey, secretPrompt, secretBooking, secretAnswer} {
		for source, text := range outputs {
			if strings.Contains(text, secret) || strings.Contains(text, hex.EncodeToString([]byte(secret))) {
				t.Errorf("%q appears in %s", secret, source)
			}
		}
	}
}

package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// BenchmarkMachineList reads a large machine list; the time includes the server's.
func BenchmarkMachineList(b *testing.B) {
	is := is.New(b)
	list := protocol.MachineList{AsOf: time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)}
	add := func(kind protocol.MachineKind, count int) {
		for index := range count {
			machine := protocol.Machine{
				Name: fmt.Sprintf("%s-%03d", kind, index), Kind: kind, Zone: ident.Zone(fmt.Sprintf("zone-%d", index%9)),
				State: protocol.MachineLive, Address: fmt.Sprintf("10.0.%d.%d:8080", index/256, index%256),
			}
			if kind == protocol.MachineRouter {
				machine.GossipAddress = fmt.Sprintf("10.0.%d.%d:7946", index/256, index%256)
			}
			list.Machines = append(list.Machines, machine)
		}
	}
	add(protocol.MachineRouter, 390)
	add(protocol.MachineEngine, 860)
	body, err := json.Marshal(list)
	is.NoErr(err)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(body)
	}))
	defer server.Close()
	client, err := store.NewHTTPClient(server.URL, store.Options{})
	is.NoErr(err)
	for b.Loop() {
		read, err := client.ListMachines(context.Background())
		if err != nil || len(read.Machines) != len(list.Machines) {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "B/list")
}

package main

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/status"
)

// statusReport is the JSON output of status.
type statusReport struct {
	// FleetVersion is the highest version reported; Lagging names the live
	// routers below it.
	FleetVersion uint64   `json:"fleet_version"`
	Live         int      `json:"live_routers"`
	Lagging      []string `json:"lagging"`
	// Unanswered names the queried routers that did not answer, and why.
	Unanswered []string `json:"unanswered"`
	// Routers holds the answers of /status.json unchanged.
	Routers []status.Router `json:"routers"`

	versions observedVersions
}

func newStatusCommand() *cobra.Command {
	var addresses []string
	var output commandline.Format
	command := &cobra.Command{
		Use:   "status --routers HOST:PORT[,HOST:PORT...]",
		Short: "Show members, engines, queues and decisions as routers report them",
		Long: `Status queries routers for their state and shows it: which routers are alive and
which fleet version each has in force, the engines with their load and loaded
model versions, the applications, and for each queried router its queue, its
decisions, the shares of prompt tokens predicted (BELIEVED) and found in caches,
its claims and its gossip. For each group of engines it shows the router that
controls them, how many engines match the fleet file, and the loads in progress.

It is read-only. Each router reports all members, so one address is enough for
members and engines; queues and decisions are those of the queried routers. A
router that does not answer is listed, and the exit code is 6.`,
		Example: `  # Everything that one router reports.
  fieldpond status --routers 127.0.0.1:7001

  # Queues and decisions of three routers.
  fieldpond status --routers 127.0.0.1:7001,127.0.0.1:7003,127.0.0.1:7005

  # In a script: engines that the first router considers dead.
  fieldpond status --routers 127.0.0.1:7001 -o json | jq -r '.routers[0].engines[] | select(.alive | not) | .engine'`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runStatus(command.Context(), command.OutOrStdout(), newRoutersClient(addresses), output)
		},
	}
	command.Flags().StringSliceVar(&addresses, "routers", nil, "host:port of the routers to query")
	_ = command.MarkFlagRequired("routers")
	commandline.AddOutputFlag(command, &output)
	return command
}

func runStatus(ctx context.Context, writer io.Writer, routers *routersClient, output commandline.Format) error {
	results := routers.fetchAll(ctx)
	versions := collectVersions(results)
	report := statusReport{
		FleetVersion: versions.highest(),
		Live:         len(versions),
		Lagging:      append([]string{}, versions.lagging(versions.highest())...),
		Unanswered:   append([]string{}, describeFailures(results)...),
		Routers:      []status.Router{},
		versions:     versions,
	}
	for _, result := range results {
		if result.err == nil {
			report.Routers = append(report.Routers, result.status)
		}
	}
	write := report.writeTable
	if output == commandline.FormatJSON {
		write = func(writer io.Writer) error { return commandline.WriteJSON(writer, report) }
	}
	if err := write(writer); err != nil {
		return err
	}
	if unanswered := len(report.Unanswered); unanswered > 0 {
		return fault.New(fault.Timeout, "%d of %d routers did not report their status", unanswered, len(results)).
			WithRemedy("check the addresses in --routers, and whether those routers run")
	}
	return nil
}

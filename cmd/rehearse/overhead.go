package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/standin/overhead"
)

func newOverheadCommand() *cobra.Command {
	config := overhead.Config{}
	var output commandline.Format
	command := &cobra.Command{
		Use:   "overhead --router URL --engine URL",
		Short: "Compare the time to the first text through a router and directly from an engine",
		Long: `Send the same kind of request to a router and directly to an engine in turn,
one at a time, and compare the times to the first text. For a fair comparison
the fleet file should list that engine only.`,
		Example: `  rehearse overhead --router http://127.0.0.1:7001 --engine http://127.0.0.1:7101 \
    --key key-haulier-1 --service dispatch-assistant --tenant haulier-1 \
    --model dispatch-llm --model-version 2026-11`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := overhead.Run(command.Context(), config)
			if err != nil {
				return err
			}
			if output == commandline.FormatJSON {
				return commandline.WriteJSON(command.OutOrStdout(), report)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(),
				"requests each way %d\ndirect  p50 %d us  p99 %d us\nrouted  p50 %d us  p99 %d us\n",
				report.Requests, report.Direct.P50, report.Direct.P99, report.Routed.P50, report.Routed.P99)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Router, "router", "", "base URL of the router")
	flags.StringVar(&config.Engine, "engine", "", "base URL of the engine")
	flags.StringVar(&config.Key, "key", "", "the tenant's API key")
	flags.StringVar((*string)(&config.Service), "service", "", "model service at the router")
	flags.StringVar((*string)(&config.Tenant), "tenant", "", "tenant, for the engine")
	flags.StringVar((*string)(&config.Model), "model", "", "model, for the engine")
	flags.StringVar((*string)(&config.Version), "model-version", "", "model version, for the engine")
	flags.IntVar(&config.Requests, "requests", 500, "number of requests each way")
	flags.IntVar(&config.PromptBytes, "prompt-bytes", 16384, "length of each prompt, in bytes")
	commandline.AddOutputFlag(command, &output)
	return command
}

package main

import (
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/router"
	"github.com/fieldpond/fieldpond/internal/settings"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

func newRouterCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "router",
		Short: "Run one router",
		Long: `Run one router until it is stopped.

A router reads its name, zone and addresses from a settings file or flags, and
everything else from the fleet file that operators apply. It keeps no local state:
any number of routers may be started, stopped and replaced at any time.

SIGTERM and SIGINT shut it down gracefully: it accepts no new requests, finishes
every open request and stream, and exits.`,
		Example: `  fieldpond router --settings router.yaml
  FIELDPOND_KEY=... fieldpond router --node router-1 --zone wien-halle \
    --listen 127.0.0.1:7001 --gossip-listen 127.0.0.1:7002 \
    --platform http://127.0.0.1:7000 --cluster-key-environment FIELDPOND_KEY`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			configured, err := settings.Load(file, command.Flags())
			if err != nil {
				return err
			}
			if err := telemetry.SetUpLogging(command.ErrOrStderr(), configured.LogLevel); err != nil {
				return fault.Wrap(err, fault.InvalidSettings, "setting up the log")
			}
			ctx, stop := commandline.SignalContext(command)
			defer stop()
			return router.Run(ctx, configured)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (YAML); docs/reference/settings.md lists its keys")
	settings.RegisterFlags(command.Flags())
	return command
}

package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/platform"
)

func newEdgeCommand() *cobra.Command {
	options := platform.Options{}
	var without []string
	command := &cobra.Command{
		Use:   "edge",
		Short: "Run one router on the users' platform",
		Long: `Run one router on the users' platform until it is stopped.

It reads the settings file that the variable ` + platform.SettingsVariable + ` names, and everything
else from the platform's store. It keeps no local state: any number of routers may
be started, stopped and replaced at any time.

SIGTERM shuts it down gracefully: it reports itself unready, finishes every open
request and exits. SIGHUP only checks the settings file.`,
		Example: `  ` + platform.SettingsVariable + `=/etc/fieldpond/local.toml fieldpond edge`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			if options.Disabled, err = mechanism.ParseDisabled(without); err != nil {
				return err
			}
			ctx, stop := commandline.SignalContext(command)
			defer stop()
			checkSettingsOnHangup()
			return platform.Run(ctx, settings, options, command.OutOrStdout())
		},
	}
	command.Flags().IntVar(&options.MetricsPort, "metrics-port", 0, "port to serve metrics on; 0 means none")
	command.Flags().StringVar(&options.MetricsPath, "metrics-path", "/metrics", "path to serve metrics under")
	command.Flags().StringSliceVar(&without, "without", nil, "mechanisms to disable, to measure their effect")
	return command
}

// checkSettingsOnHangup checks the settings file on SIGHUP. Settings are fixed
// while the process runs, so a valid file changes nothing.
func checkSettingsOnHangup() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			if _, err := platform.LoadSettings(); err != nil {
				log.WithFields(log.Fields{"cause": err.Error()}).Warn("reload_refused")
				continue
			}
			log.Info("reloaded")
		}
	}()
}

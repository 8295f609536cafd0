package main

import "github.com/spf13/cobra"

// subcommands returns every subcommand, one constructor a line.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newEngineCommand(),
		newLoadCommand(),
		newPlanCommand(),
		newOverheadCommand(),
		newApplicationCommand(),
		newPlatformCommand(),
		newExperimentCommand(),
	}
}

package main

import "github.com/spf13/cobra"

// subcommands returns every subcommand, one constructor a line.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newCheckCommand(),
		newDiffCommand(),
		newApplyCommand(),
		newStatusCommand(),
		newRouterCommand(),
		newEdgeCommand(),
		newExplainCommand(),
	}
}

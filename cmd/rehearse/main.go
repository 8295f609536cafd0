// Command rehearse is the rehearsal kit: stand-ins, load and experiments.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func main() { os.Exit(commandline.Run(newRootCommand())) }

const rootLong = `rehearse runs a fieldpond deployment on one machine: stand-ins for the engines,
the applications and the platform, a load generator that checks every answer, and
experiments. It listens on loopback addresses and is not for production.

Exit codes are those of fieldpond: 'fieldpond --help' lists them.`

const rootExample = `  # The files and processes that a rehearsal of a fleet file needs.
  mkdir -p out/demo
  rehearse plan --fleet examples/muldenring/fleet.yaml --directory out/demo`

func newRootCommand() *cobra.Command {
	return commandline.NewRoot("rehearse", "Rehearse a fieldpond deployment on stand-ins", rootLong, rootExample, subcommands()...)
}

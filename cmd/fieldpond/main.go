// Command fieldpond is the router and the operators' command line.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func main() { os.Exit(commandline.Run(newRootCommand())) }

const rootLong = `fieldpond routes language-model traffic with long shared prompts to the engines
that a fleet file lists, and runs non-repeatable requests at most once.

Operators change a deployment in one way: they edit the fleet file, check it,
review the difference and apply it. No command acts on a single machine.

Exit codes: 0 done; 1 a fault of fieldpond itself; 2 the command line or a
request is wrong; 3 a file is invalid; 4 another operator applied first; 5 a
service did not answer or refused; 6 a wait timed out; 7 access denied.
docs/reference/errors.md lists them by error kind.`

const rootExample = `  # From an edited file to a file in force everywhere.
  fieldpond check -f fleet.yaml
  fieldpond diff -f fleet.yaml --platform http://127.0.0.1:7000
  fieldpond apply -f fleet.yaml --platform http://127.0.0.1:7000 \
      --wait --routers 127.0.0.1:7001,127.0.0.1:7003
  fieldpond status --routers 127.0.0.1:7001`

func newRootCommand() *cobra.Command {
	return commandline.NewRoot("fieldpond", "Route language-model traffic with long shared prompts", rootLong, rootExample, subcommands()...)
}

package commandline

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Build identifies the source that a program was built from.
type Build struct {
	Program string `json:"program"`
	// Version is the module version; "(devel)" for a build from a work tree.
	Version string `json:"version"`
	// Revision is the commit, empty if the build did not record it.
	Revision string `json:"revision,omitempty"`
	// Time is the time of that commit.
	Time string `json:"time,omitempty"`
	// Modified is whether the work tree had uncommitted changes.
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// readBuild reads the build information of the running program.
func readBuild(program string) Build {
	build := Build{Program: program, Version: "unknown"}
	info, recorded := debug.ReadBuildInfo()
	if !recorded {
		return build
	}
	build.Version, build.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Revision = setting.Value
		case "vcs.time":
			build.Time = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

func (b Build) String() string {
	text := fmt.Sprintf("%s %s (%s)", b.Program, b.Version, b.Go)
	if b.Revision != "" {
		text += fmt.Sprintf(", commit %s of %s", b.Revision, b.Time)
	}
	if b.Modified {
		text += ", with uncommitted changes"
	}
	return text
}

func newVersionCommand(program string) *cobra.Command {
	var output Format
	command := &cobra.Command{
		Use:   "version",
		Short: "Show which source this program was built from",
		Long: `Version prints what the Go tool recorded when it built this program: the
module's version, the commit, and whether the work tree had uncommitted changes.`,
		Example: fmt.Sprintf("  %[1]s version\n  %[1]s version -o json", program),
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			build := readBuild(program)
			if output == FormatJSON {
				return WriteJSON(command.OutOrStdout(), build)
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), build)
			return err
		},
	}
	AddOutputFlag(command, &output)
	return command
}

package commandline

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// program returns a program with one command, which returns result, and the
// buffer of its output.
func program(example string, result error) (*cobra.Command, *bytes.Buffer) {
	var output bytes.Buffer
	command := &cobra.Command{Use: "work", Example: example, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return result }}
	command.Flags().Int("count", 0, "")
	command.Flags().String("file", "", "")
	_ = command.MarkFlagRequired("file")
	root := NewRoot("tool", "short", "long", "", command)
	root.SetOut(&output)
	root.SetErr(&output)
	return root, &output
}

func TestRunMapsErrorsToExitCodes(t *testing.T) {
	cases := []struct {
		name, arguments, wantOutput string
		err                         error
		code                        int
	}{
		{"done", "work --file x", "", nil, 0},
		{"fault", "work --file x", "; remedy: ", fault.New(fault.Conflict, "lost"), 4},
		{"wrapped fault", "work --file x", "lost", errors.Wrap(fault.New(fault.InvalidFleet, "lost"), "doing"), 3},
		{"required flag", "work", "--help", nil, 2},
		{"unknown flag", "work --none", "--help", nil, 2},
		{"unknown command", "none", "--help", nil, 2},
		{"bad value", "work --count x", "--help", nil, 2},
		{"bad output", "version -o xml", "neither table nor json", nil, 2},
		{"version", "version", "tool ", nil, 0},
		{"version in JSON", "version -o json", `"program": "tool"`, nil, 0},
		{"completion", "completion bash", "__start_tool", nil, 0},
		{"output completes", "__complete version -o j", "json", nil, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			root, output := program("", test.err)
			root.SetArgs(strings.Fields(test.arguments))
			is.Equal(Run(root), test.code)
			is.True(strings.Contains(output.String(), test.wantOutput))
		})
	}
}

func TestCheckHelpFindsBadExamples(t *testing.T) {
	cases := []struct {
		example string
		valid   bool
	}{
		{"", false},
		{"  other work", false},
		{"  tool work --none", false},
		{"  tool work", false},
		{"  tool work --file x extra", false},
		{"  tool wrok --file x", false},
		{"  KEY=x bin/tool work --file x | jq", true},
		{"  tool work \\\n    --file x # why\n  tool work --help\ntool is no command here", true},
		{"tool work --file x", false},
	}
	for _, test := range cases {
		is := is.NewRelaxed(t)
		root, _ := program(test.example, nil)
		is.Equal(len(CheckHelp(root)) == 0, test.valid)
	}
}

package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func TestExitCodes(t *testing.T) {
	directory := t.TempDir()
	cases := []struct {
		name, arguments, wantOutput string
		code                        int
	}{
		{"plan", "plan --fleet ../../examples/parking/fleet.yaml --directory " + directory, "\trouter --settings " + directory, 0},
		{"load without a target", "load", "--target", 2},
		{"load without a schedule", "load --target http://127.0.0.1:1 --schedule none.yaml", "schedule cannot be used", 2},
		{"negative load rate", "load --target x --schedule x --rate -1", "must not be negative", 2},
		{"no such scenario", "experiment --scenario none", "none", 2},
		{"no seeds", "experiment --seeds 0", "--seeds", 2},
		{"plan without a file", "plan --fleet none.yaml --directory " + directory, "--fleet", 3},
		{"plan on a host off loopback", "plan --fleet ../../examples/parking/fleet.yaml --directory " + directory + " --host 10.0.0.1", "loopback", 3},
		{"model without a version", "engine --model m", "name:version", 3},
		{"negative rate", "platform --table-rate -1", "negative", 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			root := newRootCommand()
			root.SetArgs(strings.Fields(test.arguments))
			root.SetOut(&output)
			root.SetErr(&output)
			is.Equal(commandline.Run(root), test.code)
			is.True(strings.Contains(output.String(), test.wantOutput))
		})
	}
}

package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func TestExitCodes(t *testing.T) {
	useMemoryTable(t)
	invalid := editedExample(t, "kind: model", "kind: modell")
	edited := editedExample(t, "share: 6", "share: 7")
	unusedAddress := freeAddress(t)
	cases := []struct {
		name, arguments, wantOutput string
		code                        int
	}{
		{"sound file", "check -f " + exampleFile, "is sound", 0},
		{"diff without a version in force", "diff -f " + exampleFile + " --platform x", "against version 0", 0},
		{"first apply", "apply -f " + exampleFile + " --platform x --base 0", "version 1 accepted", 0},
		{"same apply", "apply -f " + exampleFile + " --platform x -o json", `"unchanged": true`, 0},
		{"no command", "chek", "unknown command", 2},
		{"no file flag", "check", `required flag(s) "file" not set`, 2},
		{"extra argument", "check -f " + exampleFile + " more", "unknown command", 2},
		{"bad output", "status --routers x -o yaml", "neither table nor json", 2},
		{"wait without routers", "apply -f x --platform x --wait", "missing [routers]", 2},
		{"no such file", "check -f none.yaml", "cannot be read", 3},
		{"invalid file", "check -f " + invalid, "services[0].kind", 3},
		{"invalid file is not applied", "apply -f " + invalid + " --platform x", "services[0].kind", 3},
		{"no time", "apply -f " + exampleFile + " --platform x --timeout 0s", "--timeout", 3},
		{"no settings", "router", "remedy", 3},
		{"lost race", "apply -f " + edited + " --platform x --base 9", "version 1", 4},
		{"no router answers", "status --routers " + unusedAddress, "no router answered", 6},
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

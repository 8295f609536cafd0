package main

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func TestHelpExamplesAreValid(t *testing.T) {
	is := is.New(t)
	is.Equal(commandline.CheckHelp(newRootCommand()), nil)
}

// Guards against pages that show unknown commands, flags or arguments.
func TestPagesShowValidCommands(t *testing.T) {
	is := is.New(t)
	shown, problems := commandline.CheckPages(newRootCommand(), os.DirFS("../.."), "README.md", "docs")
	is.Equal(problems, nil)
	is.True(shown > 0)
}

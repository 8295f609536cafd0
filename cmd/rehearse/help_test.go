package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func TestHelpTeachesWithSoundExamples(t *testing.T) {
	is := is.New(t)
	is.Equal(commandline.CheckHelp(newRootCommand()), nil)
}

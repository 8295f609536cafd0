package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
)

func TestHelpTeachesWithSoundExamples(t *testing.T) {
	is := is.New(t)
	is.Equal(commandline.CheckHelp(newRootCommand()), nil)
}

// Every command line on a page is one that this program understands.
func TestPagesShowSoundCommands(t *testing.T) {
	is := is.New(t)
	root, shown := newRootCommand(), 0
	check := func(path string) {
		text, err := os.ReadFile(path)
		is.NoErr(err)
		shown += len(commandline.CommandLines(root.Name(), string(text)))
		for _, problem := range commandline.CheckText(root, string(text)) {
			t.Errorf("%s: %s", path, problem)
		}
	}
	check("../../README.md")
	is.NoErr(filepath.WalkDir("../../docs", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			check(path)
		}
		return err
	}))
	is.True(shown > 0)
}

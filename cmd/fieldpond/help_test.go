package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/platform"
)

func TestEdgeRejectsUnknownMechanism(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.toml")
	settings := strings.Join([]string{
		`node = "n"`, `zone = "a"`, `ip = "127.0.0.1"`, `portRange = [7340,7355]`,
		`[listen]`, `front = "127.0.0.1:1"`, `ready = "127.0.0.1:2"`, `control = "127.0.0.1:3"`,
		`[bounds]`, `configApplyMs = 2000`, `revokeMs = 5000`, `graceS = 8`, `retryBudgetRatio = 0.2`,
		`budgetWindowS = 10`, `leaseMs = 3000`, `versionMs = 8000`,
		`[platform]`, `address = "127.0.0.1:4"`,
	}, "\n")
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	_, _, err := run("edge", "--without", "no-such-mechanism")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "no-such-mechanism"))
	is.True(strings.Contains(err.Error(), "early-refusal")) // the remedy
}

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

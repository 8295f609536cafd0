package commandline

import (
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// indent starts every line of an example.
const indent = "  "

// CheckHelp returns an error for each command without an example in its help,
// and for each invalid example.
func CheckHelp(root *cobra.Command) []error {
	var problems []error
	for _, command := range root.Commands() {
		if command.Name() == "completion" || command.Name() == "help" {
			continue
		}
		if len(CommandLines(root.Name(), command.Example)) == 0 {
			problems = append(problems, errors.Errorf("%s: the help has no example", command.Name()))
		}
		problems = append(problems, CheckText(root, command.Example)...)
	}
	return problems
}

// CheckText returns an error for each invalid command line in a text.
func CheckText(root *cobra.Command, text string) []error {
	var problems []error
	for _, line := range CommandLines(root.Name(), text) {
		if problem := CheckLine(root, line); problem != nil {
			problems = append(problems, problem)
		}
	}
	return problems
}

// CheckPages returns an error for each invalid command line on the pages (*.md)
// under the given paths, and the number of command lines checked.
func CheckPages(root *cobra.Command, files fs.FS, paths ...string) (checked int, problems []error) {
	for _, path := range paths {
		err := fs.WalkDir(files, path, func(name string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(name) != ".md" {
				return err
			}
			text, err := fs.ReadFile(files, name)
			checked += len(CommandLines(root.Name(), string(text)))
			for _, problem := range CheckText(root, string(text)) {
				problems = append(problems, errors.Wrap(problem, name))
			}
			return err
		})
		if err != nil {
			problems = append(problems, err)
		}
	}
	return checked, problems
}

// CommandLines returns the command lines of a program in a text. A command line
// is indented and starts with the program's name, optionally after environment
// variables and bin/. Lines that end with a backslash are joined with the next.
func CommandLines(program, text string) []string {
	var lines []string
	for line := range strings.Lines(strings.ReplaceAll(text, "\\\n", " ")) {
		if !strings.HasPrefix(line, indent) {
			continue
		}
		words := strings.Fields(line)
		for len(words) > 0 && isAssignment(words[0]) {
			words = words[1:]
		}
		if len(words) > 1 && strings.TrimPrefix(words[0], "bin/") == program {
			lines = append(lines, strings.Join(words, " "))
		}
	}
	return lines
}

// isAssignment returns whether a word sets an environment variable.
func isAssignment(word string) bool {
	name, _, found := strings.Cut(word, "=")
	return found && name != "" && name == strings.ToUpper(name)
}

// CheckLine checks command, flags and arguments of a command line without running
// it. It ignores everything after a shell operator.
func CheckLine(root *cobra.Command, line string) error {
	words := strings.Fields(line)[1:]
	for index, word := range words {
		if strings.HasPrefix(word, "|") || strings.HasPrefix(word, ">") || strings.HasPrefix(word, "#") || word == "&" {
			words = words[:index]
			break
		}
	}
	command, arguments, err := root.Find(words)
	if err != nil {
		return errors.Wrapf(err, "%q", line)
	}
	if command == root && len(arguments) > 0 && !strings.HasPrefix(arguments[0], "-") {
		return errors.Errorf("%q: unknown command", line)
	}
	command.InitDefaultHelpFlag()
	if err := command.ParseFlags(arguments); err != nil {
		return errors.Wrapf(err, "%q", line)
	}
	if err := command.ValidateArgs(command.Flags().Args()); err != nil {
		return errors.Wrapf(err, "%q", line)
	}
	if command.Flags().Changed("help") {
		return nil
	}
	return errors.Wrapf(command.ValidateRequiredFlags(), "%q", line)
}

package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Severity is whether a problem forbids applying a file.
type Severity string

const (
	// SeverityError forbids applying the file.
	SeverityError Severity = "error"
	// SeverityWarning marks something allowed but probably not intended.
	SeverityWarning Severity = "warning"
)

// maxProblems bounds the problems listed for a file, which may have one on each line.
const maxProblems = 500

// maxProblemsInFault bounds the problems listed in the message of a fault.
const maxProblemsInFault = 10

// Problem is one error or warning about a fleet file.
type Problem struct {
	// File is the name given to Parse.
	File string `json:"file"`
	// Line counts from 1; 0 means the file as a whole.
	Line int `json:"line"`
	// Path is the field, for example "tenants[3].places[0]".
	Path string `json:"path"`
	// Severity is "error" or "warning".
	Severity Severity `json:"severity"`
	// Message is what is wrong; it never contains a key hash.
	Message string `json:"message"`
	// Remedy is how to correct it.
	Remedy string `json:"remedy"`
}

// String returns the problem in one line, in the format of compilers.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s: %s; remedy: %s", p.File, p.Line, p.Severity, p.Path, p.Message, p.Remedy)
}

// Problems lists the problems of one file, ordered by line.
type Problems []Problem

// Errors returns the problems that forbid applying the file.
func (p Problems) Errors() Problems { return p.withSeverity(SeverityError) }

// Warnings returns the problems that do not.
func (p Problems) Warnings() Problems { return p.withSeverity(SeverityWarning) }

func (p Problems) withSeverity(severity Severity) Problems {
	var found Problems
	for _, problem := range p {
		if problem.Severity == severity {
			found = append(found, problem)
		}
	}
	return found
}

// Err returns nil when no problem is an error, else an InvalidFleet fault that lists
// the first errors.
func (p Problems) Err() error {
	found := p.Errors()
	if len(found) == 0 {
		return nil
	}
	shown := make([]string, 0, maxProblemsInFault)
	for _, problem := range found[:min(len(found), maxProblemsInFault)] {
		shown = append(shown, fmt.Sprintf("line %d: %s: %s (%s)", problem.Line, problem.Path, problem.Message, problem.Remedy))
	}
	if more := len(found) - len(shown); more > 0 {
		shown = append(shown, fmt.Sprintf("and %d more", more))
	}
	return fault.New(fault.InvalidFleet, "%s has %d errors: %s", found[0].File, len(found), strings.Join(shown, "; "))
}

// collector collects the problems of one file, at most one error for each path.
type collector struct {
	file    string
	list    Problems
	omitted int
	seen    map[string]bool
}

func newCollector(file string) *collector {
	return &collector{file: file, seen: map[string]bool{}}
}

func (c *collector) add(severity Severity, line int, path, message, remedy string) {
	if c.seen[path] && severity == SeverityError {
		return
	}
	if len(c.list) >= maxProblems {
		c.omitted++
		return
	}
	c.seen[path] = true
	c.list = append(c.list, Problem{File: c.file, Line: line, Path: path, Severity: severity, Message: message, Remedy: remedy})
}

func (c *collector) hasErrors() bool { return len(c.list.Errors()) > 0 }

// problems returns the list, ordered by line.
func (c *collector) problems() Problems {
	slices.SortStableFunc(c.list, func(a, b Problem) int { return a.Line - b.Line })
	if c.omitted > 0 {
		c.list = append(c.list, Problem{
			File: c.file, Path: "(file)", Severity: SeverityError,
			Message: fmt.Sprintf("%d further problems are not listed", c.omitted),
			Remedy:  "correct those listed and check again",
		})
	}
	return c.list
}

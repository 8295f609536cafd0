package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fieldpond/fieldpond/standin/deployment"
)

// BinariesVariable names the environment variable of a directory with the two
// programs. If it is set, nothing is built: so the proofs can be run against
// other builds, such as one whose guard was taken out.
const BinariesVariable = "FIELDPOND_PROOF_BINARIES"

// binaries is the directory of the two programs.
var binaries string

// Main builds the two programs once, runs the tests of a package and removes
// the programs. It is called from TestMain and returns the exit code.
func Main(m *testing.M) int {
	binaries = os.Getenv(BinariesVariable)
	if binaries == "" {
		directory, err := build()
		defer func() { _ = os.RemoveAll(directory) }()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		binaries = directory
	}
	return m.Run()
}

// build builds the programs into a directory of its own.
func build() (string, error) {
	directory, err := os.MkdirTemp("", "fieldpond-proofs-")
	if err != nil {
		return "", fmt.Errorf("making a directory for the programs: %w", err)
	}
	located, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return directory, fmt.Errorf("finding the module: %w", err)
	}
	command := exec.Command("go", "build", "-o", directory+"/", "./cmd/...")
	command.Dir = strings.TrimSpace(string(located))
	if output, err := command.CombinedOutput(); err != nil {
		return directory, fmt.Errorf("building the programs: %w\n%s", err, output)
	}
	return directory, nil
}

func programPath(program deployment.Program) string { return filepath.Join(binaries, string(program)) }

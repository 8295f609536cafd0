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

// BinariesVariable is the environment variable with a directory of prebuilt
// binaries. If it is set, nothing is built, so that the proofs can run against
// other builds, such as one with a check removed.
const BinariesVariable = "FIELDPOND_PROOF_BINARIES"

// binaries is the directory of the binaries under test.
var binaries string

// Main builds the binaries, runs the tests of a package and removes the
// binaries. It is called from TestMain and returns the exit code.
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

// build builds the binaries into a temporary directory.
func build() (string, error) {
	directory, err := os.MkdirTemp("", "fieldpond-proofs-")
	if err != nil {
		return "", fmt.Errorf("creating a directory for the binaries: %w", err)
	}
	moduleDir, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return directory, fmt.Errorf("locating the module: %w", err)
	}
	command := exec.Command("go", "build", "-o", directory+"/", "./cmd/...")
	command.Dir = strings.TrimSpace(string(moduleDir))
	if output, err := command.CombinedOutput(); err != nil {
		return directory, fmt.Errorf("building the binaries: %w\n%s", err, output)
	}
	return directory, nil
}

func programPath(program deployment.Program) string { return filepath.Join(binaries, string(program)) }

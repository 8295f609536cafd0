package claim

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCoreHasNoClockSocketOrGoroutine(t *testing.T) {
	is := is.New(t)
	for _, file := range []string{"core.go", "batch.go", "operation.go", "pace.go", "row.go", "sweep.go"} {
		source, err := os.ReadFile(file)
		is.NoErr(err)
		for _, banned := range []string{"net/http", "time.Now", "time.After", "go func", "\tgo ", "math/rand", "sync"} {
			is.True(!strings.Contains(string(source), banned)) // the core is a state machine without I/O
		}
	}
}

package fleet

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a test leaks goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

package store_test

import (
	"testing"

	"go.uber.org/goleak"
)

// No test of this package may leave a goroutine of a duty behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

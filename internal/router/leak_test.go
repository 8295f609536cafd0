package router

import (
	"testing"

	"go.uber.org/goleak"
)

// No test of this package may leak a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

package httpclient_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against leaked goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

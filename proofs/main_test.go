package proofs

import (
	"os"
	"testing"

	"github.com/fieldpond/fieldpond/proofs/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

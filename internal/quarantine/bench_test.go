package quarantine_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// BenchmarkEvidence encodes the evidence of a request with one crash and with maxCrashes, and
// reports its length.
func BenchmarkEvidence(b *testing.B) {
	for _, crashes := range []int{1, 6} {
		ledger := quarantine.NewLedger()
		for index := range crashes {
			at := startTime.Add(time.Duration(index) * time.Second)
			crashed := ident.Incarnation("i-405d13ae6" + string(rune('a'+index)) + "@1769988000000")
			ledger.RecordCrash(at, crashed, []quarantine.Fingerprint{fingerprint(0)})
		}
		name := map[int]string{1: "one crash", 6: "six crashes"}[crashes]
		b.Run(name, func(b *testing.B) {
			length := 0
			for b.Loop() {
				evidence, _ := ledger.Evidence(startTime.Add(20*time.Second), fingerprint(0))
				encoded, err := cbor.Marshal(evidence)
				if err != nil {
					b.Fatal(err)
				}
				length = len(encoded)
			}
			b.ReportMetric(float64(length), "B/evidence")
		})
	}
}

// BenchmarkIdentity compares the cost of an answered request (a keyed hash) with that of a
// broken one (a fingerprint), for a body of 36 kB.
func BenchmarkIdentity(b *testing.B) {
	request := &quarantine.Identity{Tenant: "t", Method: "POST", Host: "h", Target: "/a", Body: make([]byte, 36_000)}
	successes := quarantine.NewSuccesses()
	now := time.Now()
	b.Run("keyed hash", func(b *testing.B) {
		for b.Loop() {
			successes.Add(now, request)
		}
	})
	b.Run("fingerprint", func(b *testing.B) {
		for b.Loop() {
			_ = request.Fingerprint()
		}
	})
}

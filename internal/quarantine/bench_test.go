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

// BenchmarkParts shows the cost of an answer to a prompt with five shared parts, and that of a check while
// there is no suspect.
func BenchmarkParts(b *testing.B) {
	asked := prompt("tenant", "5c1e07a2", "91bd3f06", "e4402b7d", "0a1b2c3d", "ffee0011")
	successes, ledger := quarantine.NewPartSuccesses(), quarantine.NewLedger()
	now := time.Now()
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			successes.Add(now, asked)
		}
	})
	b.Run("no suspect", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = ledger.Empty()
		}
	})
	parts := asked.Parts()
	b.Run("check beside 2,048 suspects", func(b *testing.B) {
		for number := range 2048 {
			crashed := prompt("tenant", string(rune('a'+number%26))+string(rune('a'+number/26)))
			ledger.RecordCrash(now, incarnation(number%16), []quarantine.Fingerprint{crashed.Parts()[0].Fingerprint})
		}
		b.ReportAllocs()
		for b.Loop() {
			_ = ledger.CheckParts(now, parts)
		}
	})
}

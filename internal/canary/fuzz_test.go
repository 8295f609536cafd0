package canary

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzMessages passes decoded reports and permits to a director and a gate, which must
// neither panic nor exceed the bounds of what they keep.
func FuzzMessages(f *testing.F) {
	report := Report{Service: modelService, Revision: testOrder.Revision, Incarnation: 3, Tallies: []Tally{{Route: "draft", Group: 1, Answers: 2, Failures: 1, Times: Histogram{1}}}}
	for _, seed := range []any{&report, testPermit()} {
		encoded, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		d := newHarness(hooks{})
		d.observe(testOrder)
		d.director.SetLease(at(0), 1)
		for range 3 {
			d.step()
		}
		var received Report
		if cbor.Unmarshal(encoded, &received) == nil {
			d.director.ApplyReport(at(d.now), testRouter, &received)
			for range 30 {
				d.step()
			}
		}
		gate := gateWithOrder()
		var permit Permit
		if cbor.Unmarshal(encoded, &permit) == nil {
			gate.ApplyPermit(at(time.Second), &permit)
		}
		gate.Choose(at(time.Second), testRequest)
		if made := gate.Report(at(time.Second), modelService); made != nil && !made.valid() {
			t.Fatalf("invalid report: %+v", made)
		}
	})
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

var testMessages = []Message{
	Hello{Member: true, StartCredit: true, Number: 7}, HelloAck{Number: 7, Revision: 9}, Leave{},
	AcquireRequest{ID: 3, Reservation: Reservation{Subject: "t", Limit: testLimit, Version: 4, Amount: 9.5}},
	AcquireResponse{ID: 3, Granted: true}, AcquireResponse{ID: 3, RetryAfter: time.Second}, Release{ID: 3},
}

func TestMessagesSurviveTheWire(t *testing.T) {
	for _, msg := range testMessages {
		t.Run(fmt.Sprintf("%T", msg), func(t *testing.T) {
			is := is.New(t)
			encoded, err := cbor.Marshal(Pack(msg))
			is.NoErr(err)
			var read Datagram
			is.NoErr(cbor.Unmarshal(encoded, &read))
			is.Equal(read.Message(), msg)
		})
	}
}

// Whatever claims come, a pool grants no tenant more than the bound of a window, and no
// amount that is not a number above zero.
func FuzzAgent(f *testing.F) {
	for _, msg := range testMessages {
		encoded, err := cbor.Marshal(Pack(msg))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var read Datagram
		if cbor.Unmarshal(encoded, &read) != nil || read.Message() == nil {
			return
		}
		agent := NewAgent(Config{Self: addrOf(0), Bounds: testBounds})
		agent.SetRouterCount(2)
		now := epoch
		for range 3 {
			agent.Tick(now)
			agent.Receive(now, addrOf(1), read.Message())
			now = now.Add(helloInterval)
		}
		agent.Flush()
		id := agent.Acquire(now, Reservation{Subject: "other", Limit: testLimit, Version: 1, Amount: 1e9})
		_, done := agent.Flush()
		if len(done) != 1 || done[0].ID != id {
			t.Fatal("no verdict")
		}
		if _, granted := done[0].Result.(Granted); granted {
			t.Fatal("granted beyond any limit")
		}
	})
}

package membership

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

var testKey = []byte("a key of a test cluster")

func TestCodecRefuses(t *testing.T) {
	codec, err := NewCodec(testKey)
	is.New(t).NoErr(err)
	sealed := func(message any) []byte {
		body, _ := cbor.Marshal(message)
		return append(append([]byte{wireVersion}, codec.sum(body)...), body...)
	}
	good := Message{Kind: KindAck, From: "a"}
	changed := func(datagram []byte, index int) []byte {
		datagram[index] ^= 1
		return datagram
	}
	cases := map[string]struct {
		datagram []byte
		kind     fault.Kind
	}{
		"empty":             {nil, fault.BadRequest},
		"too long":          {make([]byte, MaxDatagram+1), fault.BadRequest},
		"other version":     {changed(sealed(good), 0), fault.BadRequest},
		"changed MAC":       {changed(sealed(good), 1), fault.Unauthorized},
		"changed body":      {changed(sealed(good), headerSize+2), fault.Unauthorized},
		"not a message":     {sealed("text"), fault.BadRequest},
		"unknown field":     {sealed(map[int]int{1: 2, 99: 1}), fault.BadRequest},
		"no sender":         {sealed(Message{Kind: KindAck}), fault.BadRequest},
		"unknown kind":      {sealed(Message{Kind: 99, From: "a"}), fault.BadRequest},
		"incarnation range": {sealed(Message{Kind: KindAck, From: "a", Rumours: []Rumour{{Node: "b", Incarnation: 1 << 63}}}), fault.BadRequest},
		"state range":       {sealed(Message{Kind: KindAck, From: "a", Rumours: []Rumour{{Node: "b", State: 9}}}), fault.BadRequest},
		"short digests":     {sealed(Message{Kind: KindSync, From: "a", Buckets: []byte{1}}), fault.BadRequest},
		"report of no kind": {sealed(Message{Kind: KindAck, From: "a", Reports: []BackendReport{{Backend: "b"}}}), fault.BadRequest},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := codec.Open(each.datagram)
			is.New(t).True(fault.Is(err, each.kind))
		})
	}
	is := is.New(t)
	_, err = NewCodec([]byte("short"))
	is.True(fault.Is(err, fault.InvalidSettings))
	_, err = codec.Open(sealed(good))
	is.NoErr(err)
}

func FuzzDecodeDatagram(f *testing.F) {
	codec, err := NewCodec(testKey)
	is.New(f).NoErr(err)
	for _, seed := range []Message{
		{Kind: KindPing, From: "a", Target: "b", Rumours: []Rumour{{Node: "c", State: Dead}}},
		{Kind: KindSync, From: "a", Salt: 1, Buckets: make([]byte, bucketCount*bucketBytes), Head: &FleetHead{Version: 1}},
	} {
		body, _ := cbor.Marshal(&seed)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		datagram := append(append([]byte{wireVersion}, codec.sum(body)...), body...)
		message, err := codec.Open(datagram)
		if _, raw := codec.Open(body); raw == nil {
			t.Fatal("an unsealed datagram was accepted")
		}
		if err != nil {
			return
		}
		sealed, err := codec.Seal(message)
		if err != nil {
			return // a sparse encoding may grow over the limit
		}
		again, err := codec.Open(sealed)
		is.New(t).NoErr(err)
		twice, err := codec.Seal(again)
		is.New(t).NoErr(err)
		is.New(t).True(bytes.Equal(sealed, twice))
	})
}

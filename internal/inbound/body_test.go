package inbound_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/inbound"
)

// interruptedReader records whether it was interrupted.
type interruptedReader struct{ interrupted bool }

func (r *interruptedReader) Interrupt() { r.interrupted = true }

// Bodies that arrive slowly must not keep their memory from other requests for long.
func TestSlowBodiesYieldTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clients := inbound.New(inbound.Config{MaxBodyBytes: 100})
		var readers [5]interruptedReader
		var bodies [5]inbound.Body
		begin := func(number int) *inbound.Body {
			bodies[number].Begin(clients, nil, &readers[number])
			return &bodies[number]
		}
		whole, slow, young := begin(0), begin(1), begin(2)
		is.True(whole.Reserve(40))
		is.True(whole.Arrived())
		is.True(slow.Reserve(60))
		is.True(!young.Reserve(60)) // all are young
		time.Sleep(time.Second)
		next := begin(3)
		is.True(next.Reserve(60))
		is.Equal(readers, [5]interruptedReader{1: {interrupted: true}})
		is.True(!slow.Arrived())
		is.True(!slow.Reserve(1))
		is.True(!next.Reserve(1)) // a body takes nothing from those that are whole
		for number := range bodies {
			bodies[number].Release()
		}
		is.True(begin(4).Reserve(100))
	})
}

package proofs

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/engine/model"
)

func TestSmoke(t *testing.T) {
	is := is.New(t)
	c := harness.Start(t, harness.Shape{Relayed: true})
	caller := c.NewCaller(harness.TenantA)
	told := caller.Stream(t.Context(), c.RouterURLs()[0], harness.Ask{Prompt: "hello there, this is a prompt", MaxTokens: 40})
	is.True(told.Done)
	is.Equal(told.Text, model.ExpectedText("hello there, this is a prompt", 40))
	booked := caller.Book(t.Context(), c.RouterURLs()[1], "k1", "{}")
	is.True(booked.Answered())
	is.Equal(len(c.AllExecutions()), 1)
	for _, r := range c.Routers {
		is.Equal(c.Terminate(r), 0)
	}
}

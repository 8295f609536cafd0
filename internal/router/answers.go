package router

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
)

// answersPrefix is the object key prefix of retained answers.
const answersPrefix = "answers/"

// answerStore implements dispatch.AnswerStore over the platform's object store.
// An answer is stored in the zone of its application.
type answerStore struct {
	objects store.Objects
}

// Save implements dispatch.AnswerStore.
func (s answerStore) Save(ctx context.Context, zone ident.Zone, claimID string, answer dispatch.Answer) (string, error) {
	data, err := cbor.Marshal(answer)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "encoding a retained answer")
	}
	key := answersPrefix + claimID
	return key, s.objects.Put(ctx, zone, key, data)
}

// Load implements dispatch.AnswerStore.
func (s answerStore) Load(ctx context.Context, zone ident.Zone, key string) (dispatch.Answer, bool, error) {
	data, found, err := s.objects.Get(ctx, zone, key)
	if err != nil || !found {
		return dispatch.Answer{}, false, err
	}
	var answer dispatch.Answer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return dispatch.Answer{}, false, fault.Wrap(err, fault.Internal, "decoding a retained answer")
	}
	return answer, true, nil
}

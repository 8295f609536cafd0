package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// statePrefix precedes the service in the key of its newest rollout's state.
const statePrefix = "canary/"

const maxRolloutStates = 500

// rolloutStates keeps the states of rollouts in the store.
type rolloutStates struct {
	table   store.Table
	writer  RolloutStore
	timeout time.Duration
}

// list returns the readable states of all services.
func (s *rolloutStates) list(ctx context.Context) ([]canary.State, error) {
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	list, err := s.table.List(bounded, statePrefix, maxRolloutStates)
	if err != nil {
		return nil, err
	}
	var states []canary.State
	for _, row := range list.Rows {
		if state, ok := decodeState(&row); ok {
			states = append(states, state)
		}
	}
	return states, nil
}

// read returns the state of one service and the version of its row, 0 if there is none. An
// unreadable row counts as a rollout that has not begun, and is overwritten.
func (s *rolloutStates) read(ctx context.Context, service ident.Service) (canary.State, uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	row, found, err := s.table.Read(bounded, statePrefix+string(service))
	none := canary.State{Order: canary.Order{Service: service}}
	if err != nil || !found {
		return none, 0, err
	}
	state, ok := decodeState(&row)
	if !ok {
		return none, row.Version, nil
	}
	return state, row.Version, nil
}

// write writes a state and reports it to the operator, on the condition that its row still
// has a version. A write that certainly failed counts as unanswered too: either way the row
// is read before it is written again.
func (s *rolloutStates) write(ctx context.Context, state *canary.State, version uint64) canary.WriteResult {
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fields := log.Fields{"service": state.Order.Service, "phase": state.Phase.String(), "version": version}
	value, err := cbor.Marshal(state)
	if err != nil {
		fields["cause"] = err.Error()
		log.WithFields(fields).Warn("rollout_state_not_written")
		return canary.Conflict{}
	}
	key := statePrefix + string(state.Order.Service)
	result, err := s.writer.CommitRollout(bounded, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Writes:     []protocol.Write{{Key: key, Value: value}},
	}, state)
	switch {
	case err != nil:
		fields["cause"] = err.Error()
		log.WithFields(fields).Warn("rollout_state_unanswered")
		return canary.Unanswered{}
	case !result.Committed:
		log.WithFields(fields).Info("rollout_state_conflict")
		return canary.Conflict{}
	}
	return canary.Stored{Version: result.Rows[0].Version}
}

// decodeState decodes a row, and reports whether it is readable.
func decodeState(row *protocol.Row) (canary.State, bool) {
	var state canary.State
	if err := cbor.Unmarshal(row.Value, &state); err != nil {
		log.WithFields(log.Fields{"row": row.Key, "cause": err.Error()}).Warn("rollout_state_unreadable")
		return canary.State{}, false
	}
	return state, true
}

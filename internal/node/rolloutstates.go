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

// statePrefix is the begin of the keys of the states of rollouts, which go on with the
// service: its newest rollout has one row.
const statePrefix = "canary/"

// maxRolloutStates bounds the states that are read.
const maxRolloutStates = 500

// rolloutStates keeps the states of rollouts in the store.
type rolloutStates struct {
	table   store.Table
	writer  RolloutStore
	timeout time.Duration
}

// list returns the states of all services.
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

// read returns the state of one service and the version of its row, 0 if there is none. A
// row that cannot be read counts as a rollout that has not begun, and is written over.
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

// write writes a state under the condition that its row still has a version, and tells the
// operator. A write that came to nothing for sure counts as unanswered as well: either way
// the row is read before it is written again.
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

// decodeState reads the row of a state.
func decodeState(row *protocol.Row) (canary.State, bool) {
	var state canary.State
	if err := cbor.Unmarshal(row.Value, &state); err != nil {
		log.WithFields(log.Fields{"row": row.Key, "cause": err.Error()}).Warn("rollout_state_unreadable")
		return canary.State{}, false
	}
	return state, true
}

package platform

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// MachineLog is the machine list, whose changes become visible after a lag. It
// reads no clock and is not safe for concurrent use.
type MachineLog struct {
	lag     time.Duration
	changes []machineChange
}

type machineChange struct {
	at       time.Time
	machines []protocol.Machine
}

// NewMachineLog returns a log whose first list is visible at once.
func NewMachineLog(lag time.Duration, first []protocol.Machine) *MachineLog {
	return &MachineLog{lag: lag, changes: []machineChange{{machines: first}}}
}

// Replace sets the machine list; it becomes visible after the lag.
func (m *MachineLog) Replace(machines []protocol.Machine, now time.Time) {
	m.changes = append(m.changes, machineChange{at: now, machines: machines})
}

// Visible returns the list that the platform reports at now.
func (m *MachineLog) Visible(now time.Time) protocol.MachineList {
	asOf := now.Add(-m.lag)
	for len(m.changes) > 1 && !m.changes[1].at.After(asOf) {
		m.changes = m.changes[1:]
	}
	list := protocol.MachineList{AsOf: asOf, Machines: m.changes[0].machines}
	if list.Machines == nil {
		list.Machines = []protocol.Machine{}
	}
	return list
}

// ReadMachines reads a protocol.MachineList from a YAML file that uses the
// names of its JSON fields.
func ReadMachines(path string) ([]protocol.Machine, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "cannot read the machine file").
			WithRemedy("pass a readable YAML file with --machines")
	}
	var tree any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "the machine file is not valid YAML").WithRemedy("correct the line in the error")
	}
	encoded, err := json.Marshal(tree)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "the machine file has keys that are not strings").WithRemedy("use string keys")
	}
	return decodeMachines(encoded)
}

func decodeMachines(data []byte) ([]protocol.Machine, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var list protocol.MachineList
	if err := decoder.Decode(&list); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "the machine list is malformed").
			WithRemedy("give {machines: [{name, kind, zone, state, address, gossip_address}]}")
	}
	for index := range list.Machines {
		if err := checkMachine(&list.Machines[index]); err != nil {
			return nil, err
		}
	}
	return list.Machines, nil
}

// checkMachine sets the default state, live, and validates the fields.
func checkMachine(machine *protocol.Machine) error {
	if machine.State == "" {
		machine.State = protocol.MachineLive
	}
	kindKnown := machine.Kind == protocol.MachineRouter || machine.Kind == protocol.MachineEngine || machine.Kind == protocol.MachineApplication
	stateKnown := machine.State == protocol.MachineLive || machine.State == protocol.MachineLeaving
	if machine.Name == "" || machine.Address == "" || !kindKnown || !stateKnown {
		return fault.New(fault.BadRequest, "machine %q lacks a name or address, or has an unknown kind or state", machine.Name).
			WithRemedy("kinds are router, engine, application; states are live, leaving")
	}
	return nil
}

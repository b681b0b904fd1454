package peer

import (
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// FromChanges returns the encoded changes.
func FromChanges(changes []configuration.Change) ([][]byte, error) {
	var encoded [][]byte
	for i := range changes {
		data, err := json.Marshal(&changes[i])
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", changes[i].Revision, err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// ToChanges decodes changes and checks that their revisions are without gaps.
func ToChanges(encoded [][]byte) ([]configuration.Change, error) {
	var changes []configuration.Change
	for i, data := range encoded {
		var change configuration.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return nil, fmt.Errorf("change at position %d: %w", i, err)
		}
		if i > 0 && change.Revision != changes[i-1].Revision+1 {
			return nil, fmt.Errorf("change %d follows change %d", change.Revision, changes[i-1].Revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// FromConfiguration returns the encoded snapshot; nil has no bytes.
func FromConfiguration(snapshot *configuration.Configuration) ([]byte, error) {
	if snapshot == nil {
		return nil, nil
	}
	data, err := json.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("snapshot of revision %d: %w", snapshot.Revision, err)
	}
	return data, nil
}

// ToConfiguration decodes a snapshot; no bytes are nil.
func ToConfiguration(data []byte) (*configuration.Configuration, error) {
	if len(data) == 0 {
		return nil, nil
	}
	snapshot := new(configuration.Configuration)
	if err := json.Unmarshal(data, snapshot); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot, nil
}

package peer

import (
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// FromChanges encodes each change of the configuration as JSON.
func FromChanges(changes []configuration.Change) ([][]byte, error) {
	var encoded [][]byte
	for i := range changes {
		data, err := json.Marshal(&changes[i])
		if err != nil {
			return nil, fmt.Errorf("encode change of revision %d: %w", changes[i].Revision, err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// ToChanges decodes changes of the configuration. It returns an error if a change is
// not valid JSON or if the revisions are not consecutive.
func ToChanges(encoded [][]byte) ([]configuration.Change, error) {
	var changes []configuration.Change
	for i, data := range encoded {
		var change configuration.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return nil, fmt.Errorf("decode change at index %d: %w", i, err)
		}
		if i > 0 && change.Revision != changes[i-1].Revision+1 {
			return nil, fmt.Errorf("change of revision %d follows revision %d, expected consecutive revisions", change.Revision, changes[i-1].Revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// FromConfiguration encodes a snapshot of the configuration as JSON. It returns nil
// for a nil snapshot.
func FromConfiguration(snapshot *configuration.Configuration) ([]byte, error) {
	if snapshot == nil {
		return nil, nil
	}
	data, err := json.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of revision %d: %w", snapshot.Revision, err)
	}
	return data, nil
}

// ToConfiguration decodes a snapshot of the configuration. It returns nil for empty
// data.
func ToConfiguration(data []byte) (*configuration.Configuration, error) {
	if len(data) == 0 {
		return nil, nil
	}
	snapshot := new(configuration.Configuration)
	if err := json.Unmarshal(data, snapshot); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot, nil
}

package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// headKey is the record of the highest accepted revision.
const headKey table.Key = "configuration/head"

// A headRecord is the value of headKey.
type headRecord struct {
	Revision configuration.Revision `json:"revision"`
}

// An operationRecord says which revision an operation led to.
type operationRecord struct {
	Revision configuration.Revision `json:"revision"`
	// Digest is the SHA-256 of the change, so that an operation id that is
	// used for another change is found.
	Digest string `json:"digest"`
}

// changeKey returns the key of the change that leads to a revision. Its digits
// are padded, so that keys sort by revision.
func changeKey(revision configuration.Revision) table.Key {
	return table.Key(fmt.Sprintf("configuration/change/%020d", revision))
}

func operationKey(operation configuration.OperationID) table.Key {
	return table.Key("configuration/operation/" + string(operation))
}

// digest returns the SHA-256 of a change without its revision.
func digest(change configuration.Change) (string, error) {
	change.Revision = 0
	data, err := json.Marshal(&change)
	if err != nil {
		return "", fmt.Errorf("change: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// decode reads the value of a record. An absent record leaves value as it is.
func decode(record table.Record, value any) error {
	if record.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(record.Value, value); err != nil {
		return fmt.Errorf("record %s: %w", record.Key, err)
	}
	return nil
}

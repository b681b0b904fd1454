package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// headKey is the key of the record with the highest accepted revision, the head.
const headKey table.Key = "configuration/head"

// A headRecord is the value of the record at headKey.
type headRecord struct {
	Revision configuration.Revision `json:"revision"`
}

// An operationRecord is the value of the record at an operation's key. It is
// written in the same transaction as the change.
type operationRecord struct {
	Revision configuration.Revision `json:"revision"`
	// Digest is the SHA-256 of the change. It reveals that an operation ID is
	// used again for a different change.
	Digest string `json:"digest"`
}

// changeKey returns the key of the change that led to a revision. The number is
// padded with zeros, so that keys sort by revision.
func changeKey(revision configuration.Revision) table.Key {
	return table.Key(fmt.Sprintf("configuration/change/%020d", revision))
}

func operationKey(operation configuration.OperationID) table.Key {
	return table.Key("configuration/operation/" + string(operation))
}

// changeDigest returns the SHA-256 of a change in hexadecimal. The revision is
// left out, because a repeated call may expect another one.
func changeDigest(change configuration.Change) (string, error) {
	change.Revision = 0
	data, err := json.Marshal(&change)
	if err != nil {
		return "", fmt.Errorf("encode change: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// decodeRecord decodes the JSON value of a record. It leaves value unchanged if
// the record is absent.
func decodeRecord(record table.Record, value any) error {
	if record.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(record.Value, value); err != nil {
		return fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	return nil
}

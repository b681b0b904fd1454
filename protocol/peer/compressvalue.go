package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// packFrom is the size in bytes from which a value is compressed.
	packFrom = 2 << 10
	// unpackedLimit bounds a value after unpacking, in bytes.
	unpackedLimit = 16 << 20
	// packedValues is the number of compressed values that are kept, because an
	// owner tells the same desired state to every host of its zone.
	packedValues = 16
)

var (
	packedMutex sync.Mutex
	packed      = make(map[site.Position][]byte)
)

// packValue returns the value of a row, compressed if it is large.
func packValue(row site.Row) (value []byte, isPacked bool) {
	if len(row.Value) < packFrom {
		return row.Value, false
	}
	packedMutex.Lock()
	defer packedMutex.Unlock()
	if known, ok := packed[row.Position]; ok {
		return known, true
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return row.Value, false
	}
	if _, err := writer.Write(row.Value); err != nil || writer.Close() != nil {
		return row.Value, false
	}
	if len(packed) >= packedValues {
		clear(packed)
	}
	packed[row.Position] = buffer.Bytes()
	return buffer.Bytes(), true
}

func unpackValue(row *Row) ([]byte, error) {
	if !row.GetPacked() {
		return row.GetValue(), nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.GetValue())), unpackedLimit))
	if err != nil {
		return nil, fmt.Errorf("value of row %s: %w", row.GetKey(), err)
	}
	return value, nil
}

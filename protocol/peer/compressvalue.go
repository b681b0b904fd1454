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
	// compressionThresholdBytes is the smallest size of a value that is compressed.
	compressionThresholdBytes = 2 << 10
	// maxDecompressedBytes bounds the size of a value after decompression.
	maxDecompressedBytes = 16 << 20
	// maxCompressedValues is the most compressed values that are cached. They are
	// cached because an owner sends the same desired state to every host of its zone.
	maxCompressedValues = 16
)

var (
	// compressedMutex guards compressedValues.
	compressedMutex sync.Mutex
	// compressedValues caches compressed values. All conversions in this process share it.
	compressedValues = make(map[compressedValue][]byte)
)

// A compressedValue identifies the value of a row. Rows of one transaction have the same
// position.
type compressedValue struct {
	key      string
	position site.Position
}

// compressValue returns the value of a row, compressed if it has at least
// compressionThresholdBytes, and whether it is compressed. If the compression fails,
// it returns the value as it is.
func compressValue(row site.Row) (value []byte, isCompressed bool) {
	if len(row.Value) < compressionThresholdBytes {
		return row.Value, false
	}
	compressedMutex.Lock()
	defer compressedMutex.Unlock()
	id := compressedValue{key: row.Key, position: row.Position}
	if cached, ok := compressedValues[id]; ok {
		return cached, true
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return row.Value, false
	}
	if _, err := writer.Write(row.Value); err != nil || writer.Close() != nil {
		return row.Value, false
	}
	if len(compressedValues) >= maxCompressedValues {
		clear(compressedValues)
	}
	compressedValues[id] = buffer.Bytes()
	return buffer.Bytes(), true
}

// decompressValue returns the value of a row message, decompressed if it is packed.
func decompressValue(row *Row) ([]byte, error) {
	if !row.GetPacked() {
		return row.GetValue(), nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.GetValue())), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress value of row %s: %w", row.GetKey(), err)
	}
	return value, nil
}

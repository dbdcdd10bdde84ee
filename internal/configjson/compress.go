package configjson

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// minCompressBytes is the size in bytes from which data is compressed. A
	// smaller command fits into one network packet uncompressed.
	minCompressBytes = 1200
	// compressedMark is the first byte of compressed data. JSON never starts with
	// it.
	compressedMark = 0x01
	// maxDecompressedBytes limits the size of the data after decompression.
	maxDecompressedBytes = 256 << 20
)

// compress compresses data of at least minCompressBytes and returns smaller data
// unchanged. Key tables repeat the same names and shrink to about a tenth.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressedMark)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It also accepts uncompressed data of any size,
// as written by versions without compression.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return plain, nil
}

package configjson

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// packFrom is the size in bytes from which a stored form is compressed;
	// below it a command fits into one packet as it is.
	packFrom = 1200
	// packedMark is the first byte of a compressed form. JSON never begins so.
	packedMark = 0x01
	// maxUnpacked bounds what a compressed form may grow to, in bytes.
	maxUnpacked = 256 << 20
)

// pack compresses a long stored form. Tables of keys repeat the same names and
// shrink to about a tenth.
func pack(data []byte) ([]byte, error) {
	if len(data) < packFrom {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(packedMark)
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

// unpack reads what pack writes, and stored forms from before it.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return plain, nil
}

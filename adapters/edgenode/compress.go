package edgenode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxTableBytes is the maximum size of an uncompressed routing table: ten times the
// size of one with 10,000 routes.
const maxTableBytes = 64 << 20

// compress compresses a routing table with gzip: many routes differ in a few bytes
// only, and nodes have 10 Mbit/s links.
func compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress reverses compress.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress routing table: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTableBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress routing table: %w", err)
	}
	if len(text) > maxTableBytes {
		return nil, fmt.Errorf("decompress routing table: larger than %d bytes", maxTableBytes)
	}
	return text, nil
}

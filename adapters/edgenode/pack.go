package edgenode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxTable bounds an unpacked routing table: ten times one of 10,000 routes.
const maxTable = 64 << 20

// pack compresses a routing table: many routes differ in a few bytes only, and
// nodes have links of 10 Mbit/s.
func pack(text []byte) ([]byte, error) {
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

// unpack reverts pack.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack routing table: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTable+1))
	if err != nil {
		return nil, fmt.Errorf("unpack routing table: %w", err)
	}
	if len(text) > maxTable {
		return nil, fmt.Errorf("unpack routing table: more than %d bytes", maxTable)
	}
	return text, nil
}

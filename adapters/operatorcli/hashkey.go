package operatorcli

import (
	"fmt"
	"io"
	"strings"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// maxKeyBytes is the maximum length of a bearer key.
const maxKeyBytes = 4096

// KeyHash is the hash of a bearer key, for use in the customer list.
type KeyHash struct {
	SHA256 string `json:"sha256"`
}

// WriteText implements Result.
func (k *KeyHash) WriteText(w io.Writer) { fmt.Fprintln(w, k.SHA256) }

// HashKey reads a bearer key, removes the trailing newline and returns its hash.
func HashKey(in io.Reader) (*KeyHash, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "read the key: %w", err)
	}
	key := strings.TrimRight(string(data), "\r\n")
	switch {
	case key == "":
		return nil, errkind.New(errkind.BadRequest, "the key is empty")
	case len(data) > maxKeyBytes:
		return nil, errkind.New(errkind.BadRequest, "the key is longer than %d bytes", maxKeyBytes)
	case strings.ContainsAny(key, " \t\r\n"):
		return nil, errkind.New(errkind.BadRequest, "the key contains whitespace or more than one line")
	}
	return &KeyHash{SHA256: lists.HashKey(key)}, nil
}

package operations

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	idPrefix   = "op1."
	idFields   = 4  // incarnation, sequence, issue time, MAC
	macBytes   = 16 // HMAC-SHA-256, truncated
	hexBase    = 16
	uint64Bits = 64
)

// IDParts holds the decoded fields of an operation id.
type IDParts struct {
	// Node and Incarnation identify the only process that may start the operation.
	Node        domain.NodeID
	Incarnation domain.Incarnation
	// Sequence counts the ids of that process from 1.
	Sequence uint64
	// Issued is the time of issue since the start of that process, on its monotonic
	// clock.
	Issued time.Duration
	mac    string
}

// ParseID parses an operation id without verifying its MAC, so that any node can
// determine the issuer; only the issuer can verify the MAC. It fails with kind
// bad_request.
func ParseID(id domain.OperationID) (IDParts, error) {
	rest, ok := strings.CutPrefix(string(id), idPrefix)
	fields := strings.Split(rest, ".")
	if !ok || len(fields) <= idFields {
		return IDParts{}, invalidIDError()
	}
	numbers := fields[len(fields)-idFields:]
	node := strings.Join(fields[:len(fields)-idFields], ".")
	incarnation, err1 := strconv.ParseUint(numbers[0], hexBase, uint64Bits)
	sequence, err2 := strconv.ParseUint(numbers[1], hexBase, uint64Bits)
	issued, err3 := strconv.ParseUint(numbers[2], hexBase, uint64Bits-1)
	if err1 != nil || err2 != nil || err3 != nil || node == "" {
		return IDParts{}, invalidIDError()
	}
	return IDParts{
		Node:        domain.NodeID(node),
		Incarnation: domain.Incarnation(incarnation),
		Sequence:    sequence,
		Issued:      time.Duration(issued),
		mac:         numbers[3],
	}, nil
}

func invalidIDError() error {
	return errkind.New(errkind.BadRequest, "the operation id was not issued here or not for this customer")
}

func (p IDParts) format() domain.OperationID {
	var b strings.Builder
	b.WriteString(idPrefix)
	b.WriteString(string(p.Node))
	for _, n := range []uint64{uint64(p.Incarnation), p.Sequence, uint64(p.Issued)} {
		b.WriteByte('.')
		b.WriteString(strconv.FormatUint(n, hexBase))
	}
	b.WriteByte('.')
	b.WriteString(p.mac)
	return domain.OperationID(b.String())
}

// sign returns the MAC of the parts for a customer. The length prefix of the node
// separates node and customer unambiguously.
func (p IDParts) sign(secret []byte, customer domain.CustomerID) string {
	h := hmac.New(sha256.New, secret)
	var numbers [4 * 8]byte
	binary.BigEndian.PutUint64(numbers[0:], uint64(p.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], p.Sequence)
	binary.BigEndian.PutUint64(numbers[16:], uint64(p.Issued))
	binary.BigEndian.PutUint64(numbers[24:], uint64(len(p.Node)))
	h.Write(numbers[:])
	h.Write([]byte(p.Node))
	h.Write([]byte(customer))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

func (p IDParts) verify(secret []byte, customer domain.CustomerID) bool {
	return hmac.Equal([]byte(p.mac), []byte(p.sign(secret, customer)))
}

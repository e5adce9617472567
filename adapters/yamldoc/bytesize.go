package yamldoc

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ByteSize is a number of bytes. Its text form has a unit, for instance "512B",
// "64KiB", "8MiB" or "1GiB".
type ByteSize int64

// The units of a ByteSize.
const (
	Byte ByteSize = 1
	KiB           = 1024 * Byte
	MiB           = 1024 * KiB
	GiB           = 1024 * MiB
)

type byteUnit struct {
	suffix string
	size   ByteSize
}

// byteUnits lists the units in descending order. "B" must be last, because it is a
// suffix of the others.
var byteUnits = []byteUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// ParseByteSize parses an integer with a unit.
func ParseByteSize(text string) (ByteSize, error) {
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
			break
		}
		return ByteSize(n) * u.size, nil
	}
	return 0, fmt.Errorf("%q is not a size: want a whole number with the unit B, KiB, MiB or GiB", text)
}

// String returns the size in the largest unit that divides it evenly.
func (s ByteSize) String() string {
	for _, u := range byteUnits {
		if s != 0 && s%u.size == 0 {
			return strconv.FormatInt(int64(s/u.size), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

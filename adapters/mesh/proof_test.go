package mesh

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

// An age that is rounded down would make the receiver's proof too recent.
func TestAgeOfAProofIsRoundedUp(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: 0, time.Nanosecond: time.Millisecond, 1500 * time.Microsecond: 2 * time.Millisecond, 2 * time.Second: 2 * time.Second,
	} {
		sent := Position{StorePosition: ports.StorePosition{Revision: 1}, ProofAge: age, Proved: true}
		if got := positionFromWire(positionToWire(sent)); !got.Proved || got.ProofAge != want {
			t.Errorf("age %v arrives as %v, %v, want %v", age, got.ProofAge, got.Proved, want)
		}
	}
}

func TestMissingProofArrivesAsMissing(t *testing.T) {
	at := ports.StorePosition{Revision: 1}
	for name, p := range map[string]Position{
		"none": {StorePosition: at}, "age without a proof": {StorePosition: at, ProofAge: time.Second},
		"negative age": {StorePosition: at, ProofAge: -time.Second, Proved: true}, "age of weeks": {StorePosition: at, ProofAge: 2000 * time.Hour, Proved: true},
	} {
		if got := positionFromWire(positionToWire(p)); got.Proved {
			t.Errorf("%s: arrives as a proof of age %v", name, got.ProofAge)
		}
	}
}

package membership

import "cmp"

// maxRelays is how often a change is relayed with priority before the item is only
// relayed in rotation.
const maxRelays = 4

// relayPriority orders items for a message of bounded size: first those relayed least
// often since they changed, counting up to maxRelays, then those relayed longest ago.
type relayPriority struct {
	relayCount int
	lastRelay  uint64
}

// recordRelay records that the item was relayed; sequence is the number of relayed
// items so far.
func (p *relayPriority) recordRelay(sequence uint64) {
	p.relayCount = min(p.relayCount+1, maxRelays)
	p.lastRelay = sequence
}

func (p relayPriority) compare(other relayPriority) int {
	if c := cmp.Compare(p.relayCount, other.relayCount); c != 0 {
		return c
	}
	return cmp.Compare(p.lastRelay, other.lastRelay)
}

package quarantine

import "time"

// recordProcessCrash records the crash of a process that a request sent at sentAt met. It
// returns false if the process was down already, so that the request proves nothing.
func (t *Table) recordProcessCrash(now time.Time, process uint64, sentAt time.Time) bool {
	crashedAt, known := t.crashed[process]
	if known && sentAt.After(crashedAt) {
		if sentAt.Sub(crashedAt) >= minRestartTime && now.Sub(sentAt) >= minServiceTime {
			setBounded(t.runAgain, process, sentAt)
		}
		if !t.runAgain[process].After(crashedAt) {
			return false
		}
	}
	if !known || sentAt.After(crashedAt) {
		setBounded(t.crashed, process, now)
	}
	return true
}

// refute discards the evidence from a supposed crash of a process that answers a request sent
// before it. An answer to a later request does not refute the crash: the upstream may have
// started again, and this node not know it yet.
func (t *Table) refute(now time.Time, process uint64, sentAt time.Time) {
	for _, p := range t.suspects {
		for _, c := range p.crashes {
			if c.process != process {
				continue
			}
			if sentAt.After(c.at) {
				setBounded(t.runAgain, process, sentAt)
			} else if now.Sub(c.at) > refuteMargin {
				t.applyRefutation(process, now.Add(-refuteMargin))
				return
			}
		}
	}
}

// setBounded sets an entry of a map of at most maxProcesses entries.
func setBounded(m map[uint64]time.Time, process uint64, at time.Time) {
	if _, known := m[process]; !known && len(m) >= maxProcesses {
		clear(m)
	}
	m[process] = at
}

// applyRefutation discards the evidence from a process that is known to have run at a time.
func (t *Table) applyRefutation(process uint64, at time.Time) {
	if !at.After(t.refuted[process]) {
		return
	}
	setBounded(t.refuted, process, at)
	delete(t.crashed, process)
	for _, p := range t.suspects {
		if p.removeCrash(process, at) {
			t.changed = true
		}
	}
}

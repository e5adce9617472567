package mesh

import (
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

// sinceToWire encodes the time since an event; a negative one means that there was none.
func sinceToWire(d time.Duration) uint32 {
	if d < 0 {
		return 0
	}
	return uint32(d.Milliseconds()) + 1
}

func sinceFromWire(ms uint32) time.Duration {
	if ms == 0 {
		return -1
	}
	return time.Duration(ms-1) * time.Millisecond
}

func partsToWire(records []quarantine.Record) []*meshpb.PartRecord {
	wire := make([]*meshpb.PartRecord, 0, len(records))
	for _, r := range records {
		w := &meshpb.PartRecord{Part: r.Part, Position: uint32(r.Position), AnsweredMs: sinceToWire(r.SinceAnswer),
			HeldMs: sinceToWire(r.SinceHeld), RequestedMs: sinceToWire(r.SinceRequest), Trials: uint32(r.Trials)}
		for _, c := range r.Crashes {
			w.Processes = append(w.Processes, c.Process)
			w.CrashedMs = append(w.CrashedMs, sinceToWire(c.Since))
		}
		wire = append(wire, w)
	}
	return wire
}

func partsFromWire(wire []*meshpb.PartRecord) []quarantine.Record {
	var records []quarantine.Record
	for _, w := range wire {
		r := quarantine.Record{Part: w.GetPart(), Position: int(w.GetPosition()), SinceAnswer: sinceFromWire(w.GetAnsweredMs()),
			SinceHeld: sinceFromWire(w.GetHeldMs()), SinceRequest: sinceFromWire(w.GetRequestedMs()), Trials: int(w.GetTrials())}
		times := w.GetCrashedMs()
		for i, process := range w.GetProcesses()[:min(len(times), len(w.GetProcesses()))] {
			r.Crashes = append(r.Crashes, quarantine.CrashRecord{Process: process, Since: sinceFromWire(times[i])})
		}
		records = append(records, r)
	}
	return records
}

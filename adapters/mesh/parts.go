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

// partsToWire returns nil for an empty message, which is the usual one.
func partsToWire(msg quarantine.Message) *meshpb.PartMessage {
	if len(msg.Suspects) == 0 && len(msg.Refuted) == 0 {
		return nil
	}
	wire := &meshpb.PartMessage{}
	for _, r := range msg.Refuted {
		wire.Refuted = append(wire.Refuted, r.Process)
		wire.RefutedMs = append(wire.RefutedMs, sinceToWire(r.Since))
	}
	for _, r := range msg.Suspects {
		w := &meshpb.PartRecord{Part: r.ID, Request: r.Request, Position: uint32(r.Position), AnsweredMs: sinceToWire(r.SinceAnswer),
			HeldMs: sinceToWire(r.SinceHeld), RequestedMs: sinceToWire(r.SinceRequest), Trials: uint32(r.Trials)}
		for _, c := range r.Crashes {
			w.Processes = append(w.Processes, c.Process)
			w.CrashedMs = append(w.CrashedMs, sinceToWire(c.Since))
		}
		wire.Records = append(wire.Records, w)
	}
	return wire
}

func partsFromWire(wire *meshpb.PartMessage) quarantine.Message {
	msg := quarantine.Message{Refuted: crashesFromWire(wire.GetRefuted(), wire.GetRefutedMs())}
	for _, w := range wire.GetRecords() {
		r := quarantine.Record{Subject: quarantine.Subject{ID: w.GetPart(), Request: w.GetRequest()}, Position: int(w.GetPosition()), SinceAnswer: sinceFromWire(w.GetAnsweredMs()),
			SinceHeld: sinceFromWire(w.GetHeldMs()), SinceRequest: sinceFromWire(w.GetRequestedMs()), Trials: int(w.GetTrials())}
		r.Crashes = crashesFromWire(w.GetProcesses(), w.GetCrashedMs())
		msg.Suspects = append(msg.Suspects, r)
	}
	return msg
}

// crashesFromWire decodes two lists of equal length; surplus elements are ignored.
func crashesFromWire(processes []uint64, times []uint32) []quarantine.CrashRecord {
	var list []quarantine.CrashRecord
	for i, process := range processes[:min(len(times), len(processes))] {
		list = append(list, quarantine.CrashRecord{Process: process, Since: sinceFromWire(times[i])})
	}
	return list
}

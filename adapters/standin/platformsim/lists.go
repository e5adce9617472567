package platformsim

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// vmVersion is a version of the VM list and the time from which it is visible.
type vmVersion struct {
	visibleAt time.Time
	vms       []ports.VM
}

type directoryEntry struct {
	rec       ports.DirectoryRecord
	expiresAt time.Time
}

// SetVMs replaces the VM list. The change becomes visible after Config.VMLag.
func (s *Sim) SetVMs(vms []ports.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := s.now().Add(s.cfg.VMLag)
	s.vmVersions = append(s.vmVersions, vmVersion{visibleAt: visibleAt, vms: slices.Clone(vms)})
}

// UpdateVM adds a VM to the list or replaces the one with the same ID. The change
// becomes visible after Config.VMLag.
func (s *Sim) UpdateVM(vm ports.VM) {
	s.editVMList(vm.ID, func(vms []ports.VM) []ports.VM { return append(vms, vm) })
}

// RemoveVM removes a VM from the list. The change becomes visible after
// Config.VMLag.
func (s *Sim) RemoveVM(id string) {
	s.editVMList(id, func(vms []ports.VM) []ports.VM { return vms })
}

func (s *Sim) editVMList(id string, edit func([]ports.VM) []ports.VM) {
	s.mu.Lock()
	vms := slices.Clone(s.vmVersions[len(s.vmVersions)-1].vms)
	s.mu.Unlock()
	vms = slices.DeleteFunc(vms, func(vm ports.VM) bool { return vm.ID == id })
	s.SetVMs(edit(vms))
}

type vmList struct{ s *Sim }

// VMs implements ports.VMList.
func (l vmList) VMs(ctx context.Context, fd domain.FailureDomain) ([]ports.VM, error) {
	eff, err := l.s.begin(ctx, CallVMs)
	if err != nil {
		return nil, err
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	vms := []ports.VM{}
	for _, vm := range l.s.visibleVMs(eff.stale) {
		if fd == "" || vm.Place.FailureDomain == fd {
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// visibleVMs returns the latest visible version of the VM list or, if stale, the
// one before it. The caller must hold the lock.
func (s *Sim) visibleVMs(stale bool) []ports.VM {
	now := s.now()
	index := 0
	for i, v := range s.vmVersions {
		if !v.visibleAt.After(now) {
			index = i
		}
	}
	if stale && index > 0 {
		index--
	}
	return s.vmVersions[index].vms
}

type directory struct{ s *Sim }

// Announce implements ports.Directory.
func (d directory) Announce(ctx context.Context, rec ports.DirectoryRecord, ttl time.Duration) error {
	eff, err := d.s.begin(ctx, CallAnnounce)
	if err != nil {
		return err
	}
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.s.removeRecord(rec.Node)
	d.s.directoryEntries = append(d.s.directoryEntries, directoryEntry{rec: rec, expiresAt: d.s.now().Add(ttl)})
	return eff.end(CallAnnounce)
}

// Withdraw implements ports.Directory.
func (d directory) Withdraw(ctx context.Context, node domain.NodeID) error {
	eff, err := d.s.begin(ctx, CallWithdraw)
	if err != nil {
		return err
	}
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.s.removeRecord(node)
	return eff.end(CallWithdraw)
}

func (s *Sim) removeRecord(node domain.NodeID) {
	s.directoryEntries = slices.DeleteFunc(s.directoryEntries, func(e directoryEntry) bool { return e.rec.Node == node })
}

// Lookup implements ports.Directory.
func (d directory) Lookup(ctx context.Context) ([]ports.DirectoryRecord, error) {
	if _, err := d.s.begin(ctx, CallLookup); err != nil {
		return nil, err
	}
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	now := d.s.now()
	records := []ports.DirectoryRecord{}
	for _, e := range d.s.directoryEntries {
		if now.Before(e.expiresAt) {
			records = append(records, e.rec)
		}
	}
	return records, nil
}

type weightStore struct{ s *Sim }

// Reserve implements ports.WeightStore. It spaces reservations evenly at
// Config.ReservationsPerSecond.
func (w weightStore) Reserve(ctx context.Context, _ string) (time.Duration, error) {
	eff, err := w.s.begin(ctx, CallReserve)
	if err != nil {
		return 0, err
	}
	delay := w.s.reserve()
	if err := eff.end(CallReserve); err != nil {
		return 0, err
	}
	return delay, nil
}

func (s *Sim) reserve() time.Duration {
	if s.cfg.ReservationsPerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.nextReservation.Before(now) {
		s.nextReservation = now
	}
	delay := s.nextReservation.Sub(now)
	s.nextReservation = s.nextReservation.Add(time.Duration(float64(time.Second) / s.cfg.ReservationsPerSecond))
	return delay
}

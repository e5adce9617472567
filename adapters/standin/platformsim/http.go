package platformsim

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Paths of the control interface for tests.
const (
	// PathFaults accepts a POST of a JSON array of Fault, which replaces all faults.
	PathFaults = "/faults"
	// PathCalls returns a JSON array of CallCount to a GET.
	PathCalls = "/calls"
	// PathSetVMs accepts a POST of wire.VMs, which replaces the VM list.
	PathSetVMs = "/vms"
)

// conflictError adds the current entry to the error of a failed compare-and-swap,
// for the HTTP error response.
type conflictError struct {
	error
	entry ports.KVEntry
}

func (e conflictError) Unwrap() error { return e.error }

// ServeHTTP implements http.Handler.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Sim) routes() *http.ServeMux {
	m := http.NewServeMux()
	s.kvRoutes(m)
	s.listRoutes(m)
	m.HandleFunc("POST "+PathFaults, s.serveFaults)
	m.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return m
}

func (s *Sim) kvRoutes(m *http.ServeMux) {
	store := kv{s}
	handle(m, wire.PathGet, func(ctx context.Context, in wire.KeyRequest) (wire.Entry, error) {
		e, err := store.Get(ctx, in.Key)
		return wire.FromEntry(e), err
	})
	handle(m, wire.PathList, func(ctx context.Context, in wire.KeyRequest) (wire.Entries, error) {
		entries, err := store.List(ctx, in.Key)
		var out wire.Entries
		for _, e := range entries {
			out.Entries = append(out.Entries, wire.FromEntry(e))
		}
		return out, err
	})
	handle(m, wire.PathCompareAndSwap, func(ctx context.Context, in wire.CompareAndSwapRequest) (wire.Entry, error) {
		e, err := store.CompareAndSwap(ctx, in.Key, in.Previous, in.Value, in.Lease)
		if errors.Is(err, errkind.Of(errkind.Conflict)) {
			err = conflictError{error: err, entry: e}
		}
		return wire.FromEntry(e), err
	})
	handle(m, wire.PathWatch, func(ctx context.Context, in wire.WatchRequest) (wire.Entry, error) {
		ctx, cancel := context.WithTimeout(ctx, in.Wait)
		defer cancel()
		e, err := store.Watch(ctx, in.Key, in.After)
		return wire.FromEntry(e), err
	})
	handle(m, wire.PathGrant, func(ctx context.Context, in wire.GrantRequest) (wire.Lease, error) {
		l, err := store.GrantLease(ctx, in.TTL)
		return wire.Lease{ID: l.ID, TTL: l.TTL, Revision: l.Revision}, err
	})
	handle(m, wire.PathKeepAlive, func(ctx context.Context, in wire.LeaseRequest) (wire.Empty, error) {
		return wire.Empty{}, store.KeepAlive(ctx, in.ID)
	})
	handle(m, wire.PathRevoke, func(ctx context.Context, in wire.LeaseRequest) (wire.Empty, error) {
		return wire.Empty{}, store.Revoke(ctx, in.ID)
	})
}

func (s *Sim) listRoutes(m *http.ServeMux) {
	handle(m, wire.PathVMs, func(ctx context.Context, in wire.VMsRequest) (wire.VMs, error) {
		vms, err := vmList{s}.VMs(ctx, in.FailureDomain)
		return wire.VMs{VMs: vms}, err
	})
	handle(m, PathSetVMs, func(_ context.Context, in wire.VMs) (wire.Empty, error) {
		s.SetVMs(in.VMs)
		return wire.Empty{}, nil
	})
	handle(m, wire.PathAnnounce, func(ctx context.Context, in wire.AnnounceRequest) (wire.Empty, error) {
		return wire.Empty{}, directory{s}.Announce(ctx, in.Record, in.TTL)
	})
	handle(m, wire.PathWithdraw, func(ctx context.Context, in wire.WithdrawRequest) (wire.Empty, error) {
		return wire.Empty{}, directory{s}.Withdraw(ctx, in.Node)
	})
	handle(m, wire.PathLookup, func(ctx context.Context, _ wire.Empty) (wire.Records, error) {
		records, err := directory{s}.Lookup(ctx)
		return wire.Records{Records: records}, err
	})
	handle(m, wire.PathReserve, func(ctx context.Context, in wire.ReserveRequest) (wire.Reservation, error) {
		delay, err := weightStore{s}.Reserve(ctx, in.Model)
		return wire.Reservation{Wait: delay}, err
	})
}

func (s *Sim) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeError(w, errkind.New(errkind.BadRequest, "decode faults: %w", err))
		return
	}
	s.SetFaults(faults...)
	writeJSON(w, http.StatusOK, wire.Empty{})
}

// handle registers the handler of one call. It aborts the connection if the
// response is to be lost or the client has disconnected.
func handle[In, Out any](m *http.ServeMux, path string, call func(context.Context, In) (Out, error)) {
	m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			writeError(w, errkind.New(errkind.BadRequest, "decode request: %w", err))
			return
		}
		out, err := call(r.Context(), in)
		if errors.Is(err, errResponseLost) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	})
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	out := wire.Error{Kind: e.Kind, Message: e.Message, Run: e.Verdict()}
	if out.Run == "" {
		out.Run = domain.RunUnknown
	}
	var conflict conflictError
	if errors.As(err, &conflict) {
		current := wire.FromEntry(conflict.entry)
		out.Entry = &current
	}
	writeJSON(w, wire.StatusOf(e.Kind), out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client detects a broken connection
}

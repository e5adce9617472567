package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// New validates the parts of a routing table and returns the table.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Routes: routes, Services: make(map[string]Service, len(services)), Limits: limits}
	var errs []error
	if version == 0 {
		errs = append(errs, errors.New("version is missing"))
	}
	for _, s := range services {
		if s.Name == "" {
			errs = append(errs, errors.New("service without a name"))
		}
		t.Services[s.Name] = s
	}
	for i := range routes {
		errs = append(errs, t.checkRoute(&routes[i])...)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("routing table version %d: %w", version, err)
	}
	t.index()
	return t, nil
}

func (t *Table) checkRoute(r *Route) []error {
	var errs []error
	addError := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
	}
	if r.Host == "" {
		addError("host is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		addError("path prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if !slices.Contains([]Kind{Idempotent, AtMostOnce, Streaming}, r.Kind) {
		addError("unknown kind %q", r.Kind)
	}
	if r.Timeout <= 0 {
		addError("timeout %v is not positive", r.Timeout)
	}
	if r.MaxAttempts < 1 {
		addError("maximum number of attempts %d is less than 1", r.MaxAttempts)
	}
	weight := uint64(0)
	for _, s := range r.Split {
		if _, known := t.Services[s.Service]; !known {
			addError("unknown service %q", s.Service)
		}
		weight += uint64(s.Weight)
	}
	if weight == 0 {
		addError("no service with a positive weight")
	}
	return errs
}

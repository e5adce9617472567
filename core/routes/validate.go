package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// New checks the parts of a table and returns it ready for use.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Routes: routes, Services: make(map[string]Service, len(services)), Limits: limits}
	var errs []error
	if version == 0 {
		errs = append(errs, errors.New("the version is missing"))
	}
	for _, s := range services {
		if s.Name == "" {
			errs = append(errs, errors.New("a service has no name"))
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
	fail := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
	}
	if r.Host == "" {
		fail("the host is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		fail("prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if !slices.Contains([]Kind{Idempotent, AtMostOnce, Streaming}, r.Kind) {
		fail("unknown kind %q", r.Kind)
	}
	if r.Timeout <= 0 {
		fail("timeout %v is not positive", r.Timeout)
	}
	if r.MaxAttempts < 1 {
		fail("max attempts %d is less than 1", r.MaxAttempts)
	}
	weight := uint64(0)
	for _, s := range r.Shares {
		if _, known := t.Services[s.Service]; !known {
			fail("service %q does not exist", s.Service)
		}
		weight += uint64(s.Weight)
	}
	if weight == 0 {
		fail("no service has a weight")
	}
	return errs
}

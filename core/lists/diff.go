package lists

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Prefixes of the lines of a difference.
const (
	added   = "+ "
	removed = "- "
	changed = "~ "
)

// Diff returns the changes from before to after, one line per change, in a fixed
// order: regions, services, plans, customers, each sorted by name. Semantically
// equal documents produce no lines.
func Diff(before, after *Document) []string {
	var d differ
	d.diffRegions(before.Regions, after.Regions)
	diffRows(&d, "service", before.Services, after.Services,
		func(s Service) string { return s.ID }, serviceFields)
	diffRows(&d, "plan", before.Plans, after.Plans,
		func(p Plan) string { return string(p.ID) }, planFields)
	diffRows(&d, "customer", before.Customers, after.Customers,
		func(c Customer) string { return string(c.ID) }, customerFields)
	return d.lines
}

type differ struct {
	lines []string
}

func (d *differ) addf(mark, format string, args ...any) {
	d.lines = append(d.lines, mark+fmt.Sprintf(format, args...))
}

func (d *differ) diffRegions(before, after []domain.Region) {
	for _, r := range sorted(before) {
		if !slices.Contains(after, r) {
			d.addf(removed, "region %q", r)
		}
	}
	for _, r := range sorted(after) {
		if !slices.Contains(before, r) {
			d.addf(added, "region %q", r)
		}
	}
}

// field is one field of a row, formatted as text.
type field struct {
	name  string
	value string
}

// diffRows reports added and removed rows, and the changed fields of rows that are
// on both sides.
func diffRows[T any](d *differ, kind string, before, after []T, name func(T) string, fields func(T) []field) {
	old := byName(before, name)
	current := byName(after, name)
	for _, id := range allNames(old, current) {
		oldRow, inBefore := old[id]
		newRow, inAfter := current[id]
		switch {
		case !inAfter:
			d.addf(removed, "%s %q (%s)", kind, id, joinFields(fields(oldRow)))
		case !inBefore:
			d.addf(added, "%s %q (%s)", kind, id, joinFields(fields(newRow)))
		default:
			d.diffFields(kind, id, fields(oldRow), fields(newRow))
		}
	}
}

func (d *differ) diffFields(kind, id string, before, after []field) {
	for i, f := range before {
		if f.value != after[i].value {
			d.addf(changed, "%s %q %s: %s -> %s", kind, id, f.name, f.value, after[i].value)
		}
	}
}

func byName[T any](rows []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(rows))
	for _, row := range rows {
		m[name(row)] = row
	}
	return m
}

func allNames[T any](a, b map[string]T) []string {
	names := make([]string, 0, len(a))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func joinFields(fields []field) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		parts = append(parts, f.name+" "+f.value)
	}
	return strings.Join(parts, ", ")
}

func planFields(p Plan) []field {
	return []field{
		{"models", formatSet(p.Models)},
		{"services", formatSet(p.Services)},
		{"regions", formatSet(p.Regions)},
		{"home", strconv.Quote(string(p.Home))},
		{"home_only", strconv.FormatBool(p.HomeOnly)},
		{"limits.concurrency", strconv.Itoa(p.Limits.Concurrency)},
		{"limits.tokens_per_second", strconv.Itoa(p.Limits.TokensPerSecond)},
		{"limits.max_output_tokens", strconv.Itoa(p.Limits.MaxOutputTokens)},
		{"priority", strconv.Itoa(p.Priority)},
	}
}

func customerFields(c Customer) []field {
	return []field{
		{"plan", strconv.Quote(string(c.Plan))},
		{"key_hashes", formatSet(lowerAll(c.KeyHashes))},
	}
}

func serviceFields(s Service) []field {
	routes := make([]string, 0, len(s.Routes))
	for _, r := range s.Routes {
		routes = append(routes, formatRoute(r))
	}
	return []field{{"routes", "[" + strings.Join(routes, "; ") + "]"}}
}

// formatRoute formats one route. serviceFields keeps the order of routes, because the
// first match applies.
func formatRoute(r Route) string {
	methods := "any method"
	if len(r.Methods) > 0 {
		upper := make([]string, 0, len(r.Methods))
		for _, m := range r.Methods {
			upper = append(upper, strings.ToUpper(m))
		}
		methods = strings.Join(sorted(upper), "|")
	}
	verdict := "not repeatable"
	if r.Repeatable {
		verdict = "repeatable"
	}
	return fmt.Sprintf("%s %s %s", methods, r.PathPrefix, verdict)
}

func lowerAll(hashes []string) []string {
	out := make([]string, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, strings.ToLower(h))
	}
	return out
}

// formatSet formats values whose order is not significant.
func formatSet[T ~string](values []T) string {
	parts := make([]string, 0, len(values))
	for _, v := range sorted(values) {
		parts = append(parts, string(v))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func sorted[T cmp.Ordered](values []T) []T {
	out := slices.Clone(values)
	slices.Sort(out)
	return slices.Compact(out)
}

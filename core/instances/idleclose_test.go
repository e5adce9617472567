package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

const (
	// idleFor is how long a connection is idle before it is closed; its upstream states no idle timeout.
	idleFor = 2 * time.Second
	// coldStart is that of newCatalog's service.
	coldStart = 3 * time.Second
)

// newWatched returns a catalog with an upstream whose idle connection has just been closed.
func newWatched(t *testing.T) *instances.Catalog {
	t.Helper()
	c := newCatalog(t, instances.Options{}, "a")
	table, err := routes.New(2, nil, []routes.Service{{Name: "app", HealthPath: "/healthz", ColdStart: coldStart, MaxColdRate: coldRate}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	c.RecordIdleClosed(start, "x:1", idleFor, 0)
	return c
}

// checkFullRate checks whether the upstream gets any number of requests.
func checkFullRate(t *testing.T, c *instances.Catalog, now time.Time, want bool) {
	t.Helper()
	const many = 3
	if got := countPlaced(c, now, many); (got == many) != want {
		t.Errorf("%d of %d requests were placed %v after the start, want all: %v", got, many, now.Sub(start), want)
	}
}

// recordHealth records a health response that is due at now.
func recordHealth(t *testing.T, c *instances.Catalog, now time.Time, coldFor time.Duration) {
	t.Helper()
	due := c.DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return false })
	if len(due) != 1 {
		t.Fatalf("%d health requests are due %v after the start, want 1", len(due), now.Sub(start))
	}
	c.RecordHealth(now, now, due[0], coldFor)
}

func TestClosedIdleConnectionOfRunningUpstreamTeachesItsTimeout(t *testing.T) {
	c := newWatched(t)
	checkFullRate(t, c, after(100), false)
	recordHealth(t, c, after(300), 0)
	checkFullRate(t, c, after(900), true)
	c.RecordIdleClosed(after(1000), "x:1", idleFor, 0)
	checkFullRate(t, c, after(1100), true)
	c.RecordIdleClosed(after(2000), "x:1", idleFor/2, 0)
	checkFullRate(t, c, after(2100), false)
}

func TestClosedIdleConnectionOfRestartedUpstreamTeachesNoTimeout(t *testing.T) {
	c := newWatched(t)
	recordHealth(t, c, after(300), coldStart)
	warmAt := start.Add(2 * coldStart)
	recordHealth(t, c, warmAt, 0)
	checkFullRate(t, c, warmAt.Add(time.Second), true)
	c.RecordIdleClosed(warmAt.Add(2*time.Second), "x:1", idleFor, 0)
	checkFullRate(t, c, warmAt.Add(3*time.Second), false)
}

func TestStatedIdleTimeoutExplainsClosedConnection(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	c.RecordIdleClosed(start, "x:1", idleFor, idleFor)
	checkFullRate(t, c, after(100), true)
}

func TestConnectionThatEndsRightAfterItsUseTeachesNoTimeout(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	c.RecordIdleClosed(start, "x:1", idleFor/100, 0)
	recordHealth(t, c, after(300), 0)
	c.RecordIdleClosed(after(2000), "x:1", idleFor/2, 0)
	checkFullRate(t, c, after(2100), false)
}

func TestIdleConnectionOfSilencedUpstreamIsWatched(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	placeRequest(c, start).RecordReport(start, instances.ReportedLoad{Silence: time.Second})
	c.RecordIdleClosed(after(100), "x:1", idleFor, 0)
	placeRequest(c, after(1100)).Done(after(1200), instances.Answered)
	checkFullRate(t, c, after(1300), false)
}

package instances_test

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

// newCold returns an instance whose entry says that it is cold for a time.
func newCold(remaining time.Duration) instances.Instance {
	in := newInstance("a")
	in.ColdRemaining = remaining
	return in
}

// countPlaced returns how many of n requests are placed.
func countPlaced(c *instances.Catalog, now time.Time, n int) int {
	placed := 0
	for range n {
		if t := placeRequest(c, now); t != nil {
			placed++
			defer t.Done(now, instances.Canceled)
		}
	}
	return placed
}

func TestColdUpstreamThatRegistersAgainKeepsItsPace(t *testing.T) {
	for name, change := range map[string]func(c *instances.Catalog, now time.Time, n int){
		"removed and registered": func(c *instances.Catalog, now time.Time, _ int) {
			c.Remove(now, "a")
			c.Put(now, newCold(3*time.Second))
		},
		"started again under its ID": func(c *instances.Catalog, now time.Time, n int) {
			in := newCold(3 * time.Second)
			in.Started = int64(n)
			c.Put(now, in)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCatalog(t, instances.Options{})
			c.Put(start, newCold(3*time.Second))
			placed := 0
			for n := range 10 {
				now := start.Add(time.Duration(n) * 100 * time.Millisecond)
				change(c, now, n+1)
				placed += countPlaced(c, now, 4)
			}
			if placed > 3 {
				t.Errorf("%d requests in a second were placed on a cold upstream with a rate of 2 a second, want at most 3", placed)
			}
		})
	}
}

// A node that wakes from a suspension sends what has gathered, on knowledge from before.
func TestSuspendedNodeSendsNoBurstWhenItResumes(t *testing.T) {
	const many = 3
	c := newCatalog(t, instances.Options{}, "a")
	resumedAt := start.Add(5 * time.Second)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(instances.TickInterval) {
		c.Tick(now)
	}
	if got := countPlaced(c, start.Add(2*time.Second), many); got < many {
		t.Errorf("%d of %d requests were placed before the suspension, want all", got, many)
	}
	if got := countPlaced(c, resumedAt, many); got > 1 {
		t.Errorf("%d requests were placed at once after a suspension, want at most 1", got)
	}
	c.ConfirmEntries(resumedAt.Add(10*time.Millisecond), resumedAt.Add(10*time.Millisecond)) // read from the buffer of a connection
	if got := countPlaced(c, resumedAt.Add(100*time.Millisecond), many); got > 1 {
		t.Errorf("%d requests were placed on entries from before the suspension, want at most 1", got)
	}
	c.ConfirmEntries(resumedAt.Add(time.Second), resumedAt.Add(time.Second))
	if got := countPlaced(c, resumedAt.Add(time.Second), many); got < many {
		t.Errorf("%d of %d requests were placed once newer entries were known, want all", got, many)
	}
}

// TestUpstreamCountsAsColdAfterLostConnection: it may have started again under its ID.
func TestUpstreamCountsAsColdAfterLostConnection(t *testing.T) {
	const many = 3
	lostAt := start.Add(time.Second)
	entry := newInstance("a")
	cases := []struct {
		name string
		// change is what happens after the loss; before is a request that was sent before it.
		change func(c *instances.Catalog, before *instances.Ticket)
		at     time.Time
		cold   bool
	}{
		{"nothing is known", func(*instances.Catalog, *instances.Ticket) {}, lostAt.Add(time.Minute), true},
		{"an earlier request is answered", func(_ *instances.Catalog, before *instances.Ticket) {
			before.RecordReport(lostAt.Add(200*time.Millisecond), instances.ReportedLoad{})
		}, lostAt.Add(300 * time.Millisecond), false},
		{"an earlier request is answered on a later connection", func(_ *instances.Catalog, before *instances.Ticket) {
			before.ConnectedAt(lostAt.Add(100 * time.Millisecond))
			before.RecordReport(lostAt.Add(200*time.Millisecond), instances.ReportedLoad{})
		}, lostAt.Add(300 * time.Millisecond), true},
		{"the last bytes before a crash are read after it", func(_ *instances.Catalog, before *instances.Ticket) {
			before.RecordReport(lostAt.Add(50*time.Millisecond), instances.ReportedLoad{})
		}, lostAt.Add(300 * time.Millisecond), true},
		{"a later request was answered a moment ago", func(c *instances.Catalog, _ *instances.Ticket) {
			placeRequest(c, lostAt.Add(time.Second)).RecordReport(lostAt.Add(2*time.Second), instances.ReportedLoad{})
		}, lostAt.Add(4 * time.Second), true},
		{"a later request was answered a cold phase ago", func(c *instances.Catalog, _ *instances.Ticket) {
			placeRequest(c, lostAt.Add(time.Second)).RecordReport(lostAt.Add(2*time.Second), instances.ReportedLoad{})
		}, lostAt.Add(6 * time.Second), false},
		{"its entry was written before the loss", func(c *instances.Catalog, _ *instances.Ticket) {
			entry.Sequence = 2
			c.Put(lostAt.Add(time.Second), entry)
		}, lostAt.Add(2 * time.Second), true},
		{"its entry was written after the loss", func(c *instances.Catalog, _ *instances.Ticket) {
			entry.Sequence = 3
			c.Put(lostAt.Add(5*time.Second), entry)
		}, lostAt.Add(6 * time.Second), false},
		{"a request after the loss is answered before another loss", func(c *instances.Catalog, before *instances.Ticket) {
			between := placeRequest(c, lostAt.Add(time.Second))
			before.ConnectionLost(lostAt.Add(2*time.Second), instances.LossClosed)
			between.RecordReport(lostAt.Add(3*time.Second), instances.ReportedLoad{})
		}, lostAt.Add(4 * time.Second), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCatalog(t, instances.Options{}, "a")
			before, lost := placeRequest(c, start), placeRequest(c, start)
			lost.ConnectionLost(lostAt, instances.LossClosed)
			tc.change(c, before)
			if got := countPlaced(c, tc.at, many) < many; got != tc.cold {
				t.Errorf("the upstream counts as cold: %v, want %v", got, tc.cold)
			}
		})
	}
}

func TestTimeOutMeansARestartOnlyIfTheUpstreamHasBeenSilent(t *testing.T) {
	for silentFor, cold := range map[time.Duration]bool{time.Second: false, 4 * time.Second: true} {
		c := newCatalog(t, instances.Options{}, "a")
		ticket := placeRequest(c, start)
		ticket.Progress(start)
		placeRequest(c, start.Add(silentFor)) // sending is no sign of life
		ticket.ConnectionLost(start.Add(silentFor), instances.LossTimedOut)
		if got := countPlaced(c, start.Add(silentFor), 2) < 2; got != cold {
			t.Errorf("a time-out %v after the latest byte: the upstream counts as cold: %v, want %v", silentFor, got, cold)
		}
	}
}

func TestHealthIsCheckedOncePerIntervalUnlessTheUpstreamIsKnownToBeCold(t *testing.T) {
	all := func(string, domain.UpstreamID) bool { return true }
	table, err := routes.New(2, nil, []routes.Service{{Name: "app", HealthPath: "/healthz", ColdStart: 3 * time.Second, MaxColdRate: 2}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c := newCatalog(t, instances.Options{}, "a", "b", "c", "d")
	c.Configure(table)
	leaving := newInstance("b")
	leaving.Leaving = true
	c.Put(start, leaving)
	c.ApplyStatements(start, time.Time{}, []instances.Statement{{Service: "app", Instance: "c", ColdFor: 2 * time.Second}})
	for _, tc := range []struct {
		at     time.Duration
		checks func(string, domain.UpstreamID) bool
		want   []domain.UpstreamID
	}{
		{0, func(_ string, id domain.UpstreamID) bool { return id != "d" }, []domain.UpstreamID{"a"}},
		{500 * time.Millisecond, all, []domain.UpstreamID{"d"}},
		{1100 * time.Millisecond, all, []domain.UpstreamID{"a"}},
		{2200 * time.Millisecond, all, []domain.UpstreamID{"a", "c", "d"}},
	} {
		var got []domain.UpstreamID
		for _, check := range c.DueHealthChecks(start.Add(tc.at), true, tc.checks) {
			got = append(got, check.ID)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("after %v: health of %v is checked, want %v", tc.at, got, tc.want)
		}
	}
}

func TestStatementOfFormerProcessIsIgnored(t *testing.T) {
	c := newCatalog(t, instances.Options{})
	in := newInstance("a")
	in.Started = 2
	c.Put(start, in)
	c.ApplyStatements(start, time.Time{}, []instances.Statement{{Service: "app", Instance: "a", Started: 1, ColdFor: time.Minute}})
	if got := countPlaced(c, start, 3); got < 3 {
		t.Errorf("%d of 3 requests were placed on an upstream whose former process was cold, want all", got)
	}
}

package routes_test

import (
	"fmt"
	"testing"

	"github.com/crocusspread/crocusspread/core/routes"
)

// priorities returns the priorities of the requests of each account on each route, accounts first.
func priorities(t *testing.T, accountPriorities, routePriorities []int) [][]int {
	t.Helper()
	var list []routes.Route
	for i, p := range routePriorities {
		r := route(fmt.Sprint("r", i), "h", fmt.Sprintf("/%d/", i))
		r.Priority = p
		list = append(list, r)
	}
	tbl := table(t, list...)
	var accounts []routes.Account
	for i, p := range accountPriorities {
		accounts = append(accounts, routes.Account{Name: fmt.Sprint("a", i), Priority: p})
	}
	if err := tbl.SetAccounts(accounts); err != nil {
		t.Fatal(err)
	}
	var all [][]int
	for i := range accountPriorities {
		var row []int
		for j := range routePriorities {
			row = append(row, routes.RequestPriority(tbl.AccountByName(fmt.Sprint("a", i)), tbl.ByName(fmt.Sprint("r", j))))
		}
		all = append(all, row)
	}
	return all
}

// An urgent route of an account must not pass a less urgent route of a more urgent account.
func TestPriorityOfTheAccountGoesBeforeThatOfTheRoute(t *testing.T) {
	for _, c := range []struct{ accounts, routes []int }{
		{[]int{0}, []int{0, 1, 2}}, {[]int{0, 1, 5}, []int{0, 2, 9}}, {[]int{1, 2}, []int{0, 1, 2, 3, 4}},
		{[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, []int{0, 1, 2}}, {[]int{3, 4, 8}, []int{5}},
	} {
		got := priorities(t, c.accounts, c.routes)
		for i, row := range got {
			for j, p := range row {
				if p < 0 || p >= routes.PriorityLevels {
					t.Errorf("accounts %v, routes %v: got %v, want priorities below %d", c.accounts, c.routes, got, routes.PriorityLevels)
				}
				if j > 0 && p < row[j-1] {
					t.Errorf("accounts %v, routes %v: got %v, want the order of the routes within an account", c.accounts, c.routes, got)
				}
				if i > 0 && p <= got[i-1][len(row)-1] {
					t.Errorf("accounts %v, routes %v: got %v, want all of an account before the next one", c.accounts, c.routes, got)
				}
			}
		}
		if got[0][0] != 0 {
			t.Errorf("accounts %v, routes %v: the most urgent request has priority %d, want 0", c.accounts, c.routes, got[0][0])
		}
	}
}

// Routes of different priority must remain apart as long as there are enough levels.
func TestPrioritiesOfRoutesAreKeptApart(t *testing.T) {
	got := priorities(t, []int{0, 1}, []int{0, 1, 2, 3, 4})
	if want := "[[0 1 2 3 4] [5 6 7 8 9]]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPriorityWithoutAccountIsThatOfTheRoute(t *testing.T) {
	for priority, want := range map[int]int{-1: 0, 0: 0, 4: 4, 9: 9, 12: 9} {
		if got := routes.RequestPriority(nil, &routes.Route{Priority: priority}); got != want {
			t.Errorf("priority of a request on a route of priority %d is %d, want %d", priority, got, want)
		}
	}
}

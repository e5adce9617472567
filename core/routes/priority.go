package routes

import "slices"

// PriorityLevels is the number of priorities of requests; 0 is most urgent.
const PriorityLevels = 10

// RequestPriority returns the priority of a request of an account on a route, from 0 to
// PriorityLevels-1. The account's priority goes before the route's. Two accounts of different
// priority share a level only if there are more than PriorityLevels priorities of accounts.
// A nil account stands for none; the route's priority counts then.
func RequestPriority(a *Account, r *Route) int {
	if a == nil {
		return min(PriorityLevels-1, max(0, r.Priority))
	}
	return a.firstLevel + r.priorityRank*a.levels/max(1, r.priorityRanks)
}

// rankPriorities divides the levels among the priorities of the accounts and those of each
// account among the priorities of the routes. It depends on the table only, so that all nodes
// assign the same level.
func (t *Table) rankPriorities(accounts []Account) {
	byAccount := distinct(accounts, func(a *Account) int { return a.Priority })
	byRoute := distinct(t.Routes, func(r *Route) int { return r.Priority })
	for i := range t.Routes {
		r := &t.Routes[i]
		r.priorityRank, _ = slices.BinarySearch(byRoute, r.Priority)
		r.priorityRanks = len(byRoute)
	}
	for i := range accounts {
		a := &accounts[i]
		rank, _ := slices.BinarySearch(byAccount, a.Priority)
		a.firstLevel = rank * PriorityLevels / len(byAccount)
		a.levels = max(1, (rank+1)*PriorityLevels/len(byAccount)-a.firstLevel)
	}
}

// distinct returns the distinct values of a list's elements, sorted.
func distinct[T any](list []T, value func(*T) int) []int {
	values := make([]int, 0, len(list))
	for i := range list {
		values = append(values, value(&list[i]))
	}
	slices.Sort(values)
	return slices.Compact(values)
}

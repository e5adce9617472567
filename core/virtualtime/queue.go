// Package virtualtime orders the actions of simulations, which tests run in virtual time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds the actions that are due at later times. The zero value is empty.
type Queue struct {
	actions actions
	added   int
}

type action struct {
	at    time.Duration
	order int
	do    func()
}

// Add adds an action that is due at a time. Actions that are due at the same time run in the order
// in which they were added.
func (q *Queue) Add(at time.Duration, do func()) {
	q.added++
	heap.Push(&q.actions, action{at, q.added, do})
}

// Next removes and returns the earliest action; ok is false if none is due up to until.
func (q *Queue) Next(until time.Duration) (at time.Duration, do func(), ok bool) {
	if len(q.actions) == 0 || q.actions[0].at > until {
		return 0, nil, false
	}
	a := heap.Pop(&q.actions).(action)
	return a.at, a.do, true
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Package loadgen drives nodes with an open-loop load: requests start at times
// drawn beforehand, whatever became of earlier ones, so that slowness shows in
// the latencies and does not slow the load down.
package loadgen

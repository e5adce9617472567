// Package telemetry writes numbered log events through klog and keeps metrics
// in a go-metrics registry.
package telemetry

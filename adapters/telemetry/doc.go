// Package telemetry logs numbered events through klog and collects metrics in a
// go-metrics registry.
package telemetry

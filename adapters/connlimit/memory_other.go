//go:build !linux

package connlimit

// MachineMemory returns a default, because only Linux is supported here.
func MachineMemory() int64 { return defaultMemory }

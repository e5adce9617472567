package connlimit

import "golang.org/x/sys/unix"

// MachineMemory returns the memory of the machine in bytes.
func MachineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

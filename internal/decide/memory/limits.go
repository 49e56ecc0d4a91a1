package memory

import (
	"golang.org/x/sys/unix"
)

const (
	// UnreadBytes is what the system may hold of a caller's connection that has arrived and was
	// not read.
	UnreadBytes = 64 << 10
	// connBytes is what the process itself holds of a connection, besides heads and bodies.
	connBytes = 32 << 10
	// softPercent is the percentage of the memory limit near which the garbage collector runs more
	// often, and unreadPercent that of what may wait unread. The rest is for the program itself and
	// for what the collector overshoots.
	softPercent   = 60
	unreadPercent = 18
	// processBytes is what a process needs for itself, and heldPercent the percentage of the
	// rest of its soft limit that a Budget may take. It gets leastPercent of it in any case.
	processBytes = 24 << 20
	heldPercent  = 70
	leastPercent = 25
	// platformPart is the part of the memory that answers of the platform may take, one in so many. It
	// is part of what the process needs for itself.
	platformPart = 8
	// fileDescriptors is the number of descriptors that are kept for files, and callersPart the part
	// of the others that callers may take, one in so many. The rest is for the store, peers and
	// endpoints.
	fileDescriptors = 200
	callersPart     = 2
	// leastMemory is the least memory limit, and leastConnections the least limit of connections.
	leastMemory      = 32 << 20
	leastConnections = 16
	// machinePart is the part of the machine's memory that a process may use if it has no limit: one
	// in so many.
	machinePart = 2
)

// Limits divides the memory and the descriptors of a process.
type Limits struct {
	// Soft is the soft limit of the garbage collector, Held the limit of the Budget of callers, and
	// Platform that of the answers of the platform, in bytes.
	Soft, Held, Platform int64
	// Connections is how many connections of callers may be open.
	Connections int
}

// LimitsOf returns the limits of a process that may use a number of bytes and of descriptors. 0 stands
// for half of the machine's memory, and for the limit of descriptors that the system sets.
func LimitsOf(memoryBytes int64, descriptors int) (limits Limits) {
	if memoryBytes <= 0 {
		memoryBytes = machineMemory() / machinePart
	}
	memoryBytes = max(memoryBytes, leastMemory)
	if descriptors <= 0 {
		descriptors = descriptorLimit()
	}
	byMemory := memoryBytes * unreadPercent / 100 / UnreadBytes
	byDescriptors := int64(descriptors-fileDescriptors) / callersPart
	limits.Connections = int(max(min(byMemory, byDescriptors), leastConnections))
	limits.Soft = memoryBytes * softPercent / 100
	rest := limits.Soft - processBytes - int64(limits.Connections)*connBytes
	limits.Platform = memoryBytes / platformPart
	limits.Held = max(rest*heldPercent/100, limits.Soft*leastPercent/100)
	return limits
}

// machineMemory returns the memory of the machine in bytes, 0 if the system does not tell.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxDescriptors bounds a limit of the system that is infinite.
const maxDescriptors = 1 << 20

// descriptorLimit returns the limit of descriptors that the system sets.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

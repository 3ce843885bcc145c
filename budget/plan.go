// Package budget divides the memory and the descriptors of a VM among what its process holds for others.
//
// It answers callers that are not controlled: each of them stays inside the limits of one request, and all of them together
// ask for more than the VM has.
package budget

const (
	runtimeBytes = 24 << 20 // Program, its configuration and reports, and what other processes and the store send.
	nativeBytes  = 16 << 20 // Part of runtimeBytes that the garbage collector does not count: pages of the program file.
	placeBytes   = 56 << 10 // Most that one connection holds outside of the other parts.
	mostMessages = 24 << 20 // Bytes of bodies, and of responses, that suffice on any VM.

	connectionPercent = 30
	headPercent       = 15
	bodyPercent       = 15
	responsePercent   = 15
	lotPercent        = 35 // In a process that holds lots and has no callers.
	messagePercent    = 25 // In such a process.
	kernelPercent     = 10 // What arrived and was not read. The rest, 15, is for garbage.

	ownDescriptors = 200 // Files, listeners, the key-value service and other processes.
	minConnections = 16
	// Connections of other processes: few call one without a disk, and these are in ownDescriptors.
	fewPeers  = 64
	mostPeers = 1024
	fewBytes  = 2 << 20 // Bytes of their messages.
)

// Plan is the division of one VM. Its parts and runtimeBytes are together less than memory.
type Plan struct {
	memory      int // Bytes of the VM that the process may use.
	descriptors int // Descriptors that the process may have open.
	connections int // Limit that operators set; zero for none.
}

// New returns the plan of a process that may use m bytes of memory and f descriptors, with at most n connections of callers
// unless n is zero.
func New(m, f, n int) Plan { return Plan{memory: m, descriptors: f, connections: n} }

// percent returns n percent of the memory beyond that of the runtime.
func (p Plan) percent(n int) int { return max(0, p.memory-runtimeBytes) / 100 * n }

// Connections returns the largest number of connections of callers. Each may have one connection to a backend server, so they
// get half of the descriptors.
func (p Plan) Connections() int {
	n := min(p.percent(connectionPercent)/placeBytes, (p.descriptors-ownDescriptors)/2)
	if p.connections > 0 {
		n = min(n, p.connections)
	}
	return max(n, minConnections)
}

// HeadBytes returns the memory for the heads of all requests.
func (p Plan) HeadBytes() int { return p.percent(headPercent) }

// BodyBytes returns the memory for the bodies of all requests.
func (p Plan) BodyBytes() int { return min(p.percent(bodyPercent), mostMessages) }

// ResponseBytes returns the memory for the responses of all backend servers.
func (p Plan) ResponseBytes() int { return min(p.percent(responsePercent), mostMessages) }

// Peers returns the largest number of connections of other processes, for a process with a disk or without.
func (p Plan) Peers(disk bool) int {
	if !disk {
		return fewPeers
	}
	return max(minConnections, min((p.descriptors-ownDescriptors)/4, mostPeers))
}

// MessageBytes returns the memory for what comes on these connections.
func (p Plan) MessageBytes(disk bool) int {
	if !disk {
		return fewBytes
	}
	return p.percent(messagePercent)
}

// LotBytes returns the memory for lots and their results in a process with a disk, which has neither connections, heads nor bodies
// of callers.
func (p Plan) LotBytes() int { return p.percent(lotPercent) }

// Lots returns the largest number of lots in a process with a disk. Each has an open file; as many descriptors are for connections.
func (p Plan) Lots() int { return max(minConnections, (p.descriptors-ownDescriptors)/2) }

// HeapLimit returns the size that the garbage collector keeps the heap and the stacks below.
func (p Plan) HeapLimit() int { return p.memory - nativeBytes - p.percent(kernelPercent) }

// Package choose is the load balancing policy: it orders backend servers by cached prefix, load, latency and
// availability zone.
package choose

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	maxAffinityExcess = 0.25                 // Load per slot by which the server with the cached prefix may exceed the mean.
	maxZoneLoad       = 0.9                  // Load per slot from which the own zone is no longer preferred.
	minLatency        = 5 * time.Millisecond // Lower bound of the latency in the cost of a server.
	minLoad           = 0.01                 // Load per slot added to each, so that the latency decides between idle servers.
)

// Balancer prefers the server that has the prompt's prefix cached (prefix affinity), unless it is overloaded or its load
// is far above the mean; otherwise it takes the better of two random servers (power of two choices), in its own zone
// while that has capacity.
type Balancer struct{ zone string }

// New returns the chooser of an entry in zone z.
func New(z string) *Balancer { return &Balancer{zone: z} }

// Choose returns the servers of l in the order in which r should try them.
func (b *Balancer) Choose(r *bulrushlug.Request, l []bulrushlug.View) []bulrushlug.View {
	shuffle(l)
	if r.Affinity() != 0 && !r.Batch() {
		if i := b.affinityIndex(r, l); i >= 0 {
			l[0], l[i] = l[i], l[0]
			b.pickOfTwo(l[1:])
			return l
		}
	}
	local := slices.DeleteFunc(slices.Clone(l), func(v bulrushlug.View) bool { return v.LoadReport().Zone() != b.zone })
	if len(local) > 0 && leastLoaded(local).LoadPerSlot() < maxZoneLoad {
		slices.SortStableFunc(l, func(x, y bulrushlug.View) int { return b.zoneDistance(x) - b.zoneDistance(y) })
		b.pickOfTwo(l[:len(local)])
		return l
	}
	b.pickOfTwo(l)
	return l
}

func shuffle(l []bulrushlug.View) {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

func leastLoaded(l []bulrushlug.View) bulrushlug.View {
	return slices.MinFunc(l, func(x, y bulrushlug.View) int { return cmp.Compare(x.LoadPerSlot(), y.LoadPerSlot()) })
}

func (b *Balancer) zoneDistance(v bulrushlug.View) int {
	if v.LoadReport().Zone() == b.zone {
		return 0
	}
	return 1
}

// affinityIndex returns the index in l of the server that rendezvous hashing of the prefix of r ranks first among those
// that are not overloaded, or -1 if all are.
func (b *Balancer) affinityIndex(r *bulrushlug.Request, l []bulrushlug.View) int {
	var n []string
	var sum float64
	for _, v := range l {
		n = append(n, v.LoadReport().VM())
		sum += v.LoadPerSlot()
	}
	limit := min(1, sum/float64(len(l))+maxAffinityExcess)
	f := rank.First(strconv.FormatUint(r.Affinity(), 16), n, func(x string) bool {
		i := slices.Index(n, x)
		return l[i].LoadPerSlot() < limit
	})
	return slices.Index(n, f)
}

// pickOfTwo moves the cheaper of the first two servers to the front.
func (b *Balancer) pickOfTwo(l []bulrushlug.View) {
	if len(l) > 1 && cost(l[1]) < cost(l[0]) {
		l[0], l[1] = l[1], l[0]
	}
}

// cost is the load of a server times its latency in seconds.
func cost(v bulrushlug.View) float64 {
	return (v.LoadPerSlot() + minLoad) * max(v.FirstByteLatency(), minLatency).Seconds()
}

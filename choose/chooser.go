// Package choose orders backend servers by cached prefix, load, delay and availability zone.
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
	affinitySlack = 0.25 // Requests for each slot by which the server with a cached prefix may be busier than the mean.
	zoneBusy      = 0.9  // Requests for each slot up to which servers of the own zone are enough.
	delayFloor    = 5 * time.Millisecond
	busyFloor     = 0.01 // Requests for each slot; tells idle servers apart by their delay.
)

// Chooser prefers the server that has the prompt's prefix cached, unless it is much busier than the mean;
// otherwise the less busy of two random servers, of the own zone while that has room.
type Chooser struct{ zone string }

// New returns the chooser of an entry in zone z.
func New(z string) *Chooser { return &Chooser{zone: z} }

// Choose returns the servers of l in the order in which r should try them.
func (b *Chooser) Choose(r *bulrushlug.Request, l []bulrushlug.View) []bulrushlug.View {
	shuffle(l)
	if r.Affinity() != 0 && !r.Batch() {
		if i := b.cached(r, l); i >= 0 {
			l[0], l[i] = l[i], l[0]
			b.second(l[1:])
			return l
		}
	}
	near := slices.DeleteFunc(slices.Clone(l), func(v bulrushlug.View) bool { return v.Load().Zone() != b.zone })
	if len(near) > 0 && lightest(near).LoadPerSlot() < zoneBusy {
		slices.SortStableFunc(l, func(x, y bulrushlug.View) int { return b.distance(x) - b.distance(y) })
		b.second(l[:len(near)])
		return l
	}
	b.second(l)
	return l
}

func shuffle(l []bulrushlug.View) {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

func lightest(l []bulrushlug.View) bulrushlug.View {
	return slices.MinFunc(l, func(x, y bulrushlug.View) int { return cmp.Compare(x.LoadPerSlot(), y.LoadPerSlot()) })
}

func (b *Chooser) distance(v bulrushlug.View) int {
	if v.Load().Zone() == b.zone {
		return 0
	}
	return 1
}

// cached returns the place in l of the server that the prefix of r ranks first, or -1 if that is too busy.
func (b *Chooser) cached(r *bulrushlug.Request, l []bulrushlug.View) int {
	var n []string
	var sum float64
	for _, v := range l {
		n = append(n, v.Load().VM())
		sum += v.LoadPerSlot()
	}
	limit := min(1, sum/float64(len(l))+affinitySlack)
	f := rank.First(strconv.FormatUint(r.Affinity(), 16), n, func(x string) bool {
		i := slices.Index(n, x)
		return l[i].LoadPerSlot() < limit
	})
	return slices.Index(n, f)
}

// second moves the cheaper of the first two servers to the front.
func (b *Chooser) second(l []bulrushlug.View) {
	if len(l) > 1 && cost(l[1]) < cost(l[0]) {
		l[0], l[1] = l[1], l[0]
	}
}

// cost weighs how busy a server is by how slowly it answered.
func cost(v bulrushlug.View) float64 {
	return (v.LoadPerSlot() + busyFloor) * max(v.Delay(), delayFloor).Seconds()
}

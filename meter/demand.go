package meter

import (
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fade"
)

const (
	demandTime  = 2 * time.Second // Time constant of the moving sums of requests.
	demandPrior = 1               // Requests that each process is taken to have had; small organisations are divided evenly.
	// fallenClaim is how many times lower a claim has to be than in the last report for an organisation without recent
	// requests to be reported, so that others can have what is given up.
	fallenClaim = 2
	minClaim    = 1e-6 // Of a process to which nothing was handed over; zero would be an even share.
)

// demand compares the requests of one organisation at this process with those at the others, and holds what this process
// claims of its rate and burst.
//
// A claim changes only between rounds, and grows only by what the others have reported to claim no more: a share is handed
// over. So the claims of all processes add up to one, also while some don't hear others.
type demand struct {
	asked    uint64 // Requests since the start of the process, admitted or not.
	reported uint64 // Part of asked in own, so that all processes compare the same counts.
	own      fade.Sum
	remote   map[string]remoteDemand // By VM.
	claim    float64                 // Share of rate and burst that this process uses; zero before the first round, when it is an even one.
	told     float64                 // Claim in the last report.
}

// remoteDemand is what the process on one VM reported last.
type remoteDemand struct {
	boot, asked uint64
	recent      fade.Sum // Requests.
	claim       float64  // Zero if it reported none.
}

// claimOf returns the share of rate and burst that this one of n processes may use in this round.
func (d *demand) claimOf(n int) float64 {
	if d.claim == 0 {
		return 1 / float64(n)
	}
	return d.claim
}

// fell reports whether the claim is much lower than the others know.
func (d *demand) fell() bool { return d.claim > 0 && d.told > fallenClaim*d.claim }

// report counts the requests since the last report of this one of n processes, and returns x with those since its start and
// the claim.
func (d *demand) report(x bulrushlug.AdmissionCount, n int) bulrushlug.AdmissionCount {
	if d.asked > d.reported {
		d.own.Add(time.Now(), float64(d.asked-d.reported), demandTime)
		d.reported = d.asked
	}
	d.told = d.claimOf(n)
	return x.WithAsked(d.asked).WithShare(d.told)
}

// record counts the n requests that the process on VM vm had since its start at boot, as reported at t with its claim.
func (d *demand) record(t time.Time, vm string, boot, n uint64, claim float64) {
	if d.remote == nil {
		d.remote = map[string]remoteDemand{}
	}
	r, ok := d.remote[vm]
	if r.boot != boot {
		r.boot, r.asked = boot, 0
	}
	if n > r.asked {
		if ok {
			r.recent.Add(t, float64(n-r.asked), demandTime)
		}
		r.asked = n
	}
	r.claim = claim
	d.remote[vm] = r
}

// total returns the requests at this process and at those on the VMs in heard, with the prior of each.
func (d *demand) total(heard map[string]bool, t time.Time) float64 {
	sum := d.own.Value(t, demandTime) + demandPrior
	for vm := range heard {
		r := d.remote[vm]
		sum += r.recent.Value(t, demandTime) + demandPrior
	}
	return sum
}

// claimAnew sets the claim of this one of n processes for the next round; part is the share of rate and burst that belongs to
// it and to those in heard, who have all reported since the last round.
//
// Each gets a part by what it is asked for, less what those that have more than theirs have not handed over.
func (d *demand) claimAnew(heard map[string]bool, part float64, n int) {
	t := time.Now()
	each := part / d.total(heard, t)
	kept, due := 0.0, 0.0 // What those who have too much have, and what they are due.
	for vm := range heard {
		r := d.remote[vm]
		if x := each * (r.recent.Value(t, demandTime) + demandPrior); r.claim > x {
			kept, due = kept+r.claim, due+x
		}
	}
	x := each * (d.own.Value(t, demandTime) + demandPrior)
	if d.claimOf(n) < x {
		x *= max(0, part-kept) / (part - due)
	}
	d.claim = max(minClaim, x)
}

// handOver lowers the claim where those in heard and this one of n processes claim more than part, which belongs to them from
// now on; it returns what they claimed.
func (d *demand) handOver(heard map[string]bool, part float64, n int) float64 {
	t := time.Now()
	idle := part * demandPrior / d.total(heard, t)
	sum := d.claimOf(n)
	for vm := range heard {
		if c := d.remote[vm].claim; c > 0 {
			sum += c
		} else {
			sum += idle
		}
	}
	d.claim = max(minClaim, d.claimOf(n)*min(1, part/sum))
	return sum
}

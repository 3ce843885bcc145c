package meter

import (
	"time"

	"bulrushlug.dev/bulrushlug/fade"
)

const (
	demandTime  = 2 * time.Second // Time constant of the moving sums of requests.
	demandPrior = 1               // Requests that each process is taken to have had; small organisations are divided evenly.
)

// demand compares the requests of one organisation at this process with those at the others.
//
// Own requests count once they are in a report, so that all processes know the same and their weights add up to one.
type demand struct {
	asked    uint64 // Requests since the start of the process, admitted or not.
	reported uint64 // Part of asked in own.
	own      fade.Sum
	others   fade.Sum
	remote   map[string]remoteDemand // By VM.
}

// remoteDemand is what the process on one VM reported last.
type remoteDemand struct{ boot, asked uint64 }

// report counts the requests since the last report of this process, and returns those since its start.
func (d *demand) report() uint64 {
	if d.asked > d.reported {
		d.own.Add(time.Now(), float64(d.asked-d.reported), demandTime)
		d.reported = d.asked
	}
	return d.asked
}

// record counts the n requests that the process on VM vm had since its start at boot, as reported at t.
func (d *demand) record(t time.Time, vm string, boot, n uint64) {
	if d.remote == nil {
		d.remote = map[string]remoteDemand{}
	}
	l, ok := d.remote[vm]
	if l.boot != boot {
		l.asked = 0
	}
	if ok && n > l.asked {
		d.others.Add(t, float64(n-l.asked), demandTime)
	}
	d.remote[vm] = remoteDemand{boot, max(n, l.asked)}
}

// weight returns the share of this process among n.
func (d *demand) weight(n int) float64 {
	t := time.Now()
	own, others := d.own.Value(t, demandTime), d.others.Value(t, demandTime)
	return (own + demandPrior) / (own + others + float64(n)*demandPrior)
}

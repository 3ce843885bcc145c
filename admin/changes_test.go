package admin

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

func TestCheckRate(t *testing.T) {
	for name, x := range map[string]struct {
		rate, burst float64 // Before the command.
		command     *wire.OrganisationCommand
		ok          bool
	}{
		"no rate":                    {command: &wire.OrganisationCommand{}, ok: true},
		"rate and burst":             {command: &wire.OrganisationCommand{Rate: proto.Float64(5), Burst: proto.Uint32(5)}, ok: true},
		"a rate without a burst":     {command: &wire.OrganisationCommand{Rate: proto.Float64(5)}},
		"a rate, the burst was set":  {burst: 3, command: &wire.OrganisationCommand{Rate: proto.Float64(5)}, ok: true},
		"no burst, the rate was set": {rate: 5, burst: 3, command: &wire.OrganisationCommand{Burst: proto.Uint32(0)}},
		"not a number":               {burst: 3, command: &wire.OrganisationCommand{Rate: proto.Float64(math.NaN())}},
		"infinite":                   {burst: 3, command: &wire.OrganisationCommand{Rate: proto.Float64(math.Inf(1))}},
		"negative":                   {burst: 3, command: &wire.OrganisationCommand{Rate: proto.Float64(-1)}},
	} {
		t.Run(name, func(t *testing.T) {
			o := bulrushlug.NewOrganisation("o", x.rate, uint32(x.burst))
			if err := checkRate(applyCommand(o, x.command)); (err == nil) != x.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}

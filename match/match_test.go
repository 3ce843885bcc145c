package match

import (
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func TestCheckPlacement(t *testing.T) {
	for name, x := range map[string]struct {
		organisation, model, zone string
		allowed                   bool
	}{
		"no selectors":                        {zone: "a", allowed: true},
		"model's zone":                        {model: "zone=a", zone: "a", allowed: true},
		"not the model's zone":                {model: "zone=a", zone: "b"},
		"label of the VM":                     {model: "gpu=large", zone: "a", allowed: true},
		"organisation in another region":      {organisation: "region!=si", zone: "a"},
		"both":                                {organisation: "vm=vm-1", model: "gpu in (large, huge),zone notin (b)", zone: "a", allowed: true},
		"organisation's and model's conflict": {organisation: "gpu=small", model: "gpu=large", zone: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			f := bulrushlug.RestoreConfig(2, []bulrushlug.Change{
				bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("o", 1, 1).WithSelector(x.organisation)),
				bulrushlug.NewChange("2", "t", bulrushlug.NewModel("m", "1", x.model)),
			})
			r := bulrushlug.NewRequest("r", bulrushlug.WithOrganisation("o"), bulrushlug.WithModel("m"))
			v := bulrushlug.NewVM("vm-1", map[string]string{"gpu": "large"}, false)
			if err := CheckPlacement(f, r, v, x.zone, "si"); (err == nil) != x.allowed {
				t.Errorf("CheckPlacement returned %v", err)
			}
		})
	}
}

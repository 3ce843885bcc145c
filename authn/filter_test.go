package authn

import (
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func TestCheckModelAccess(t *testing.T) {
	for name, x := range map[string]struct {
		organisations, models string
		kind                  bulrushlug.Kind
		refused               bool
	}{
		"no selectors":                 {},
		"organisation selected":        {organisations: "site in (piran, koper)"},
		"organisation by name":         {organisations: "organisation=zvonik"},
		"organisation not selected":    {organisations: "site=ljubljana", kind: bulrushlug.KindForbidden, refused: true},
		"model selected":               {models: "size!=large,model=guide"},
		"model not selected":           {models: "size=large", kind: bulrushlug.KindForbidden, refused: true},
		"selector with a syntax error": {models: "size=(", kind: bulrushlug.KindForbidden, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			o := bulrushlug.NewOrganisation("zvonik", 1, 1).WithLabels(map[string]string{"site": "piran"}).WithModels(x.models)
			m := bulrushlug.NewModel("guide", "1", "").WithLabels(map[string]string{"size": "small"}).WithOrganisations(x.organisations)
			f := bulrushlug.RestoreConfig(2, []bulrushlug.Change{bulrushlug.NewChange("1", "t", o), bulrushlug.NewChange("2", "t", m)})
			err := CheckModelAccess(f, "zvonik", "guide")
			if (err != nil) != x.refused || err != nil && bulrushlug.KindOf(err) != x.kind {
				t.Errorf("CheckModelAccess: %v", err)
			}
			if err := CheckModelAccess(f, "zvonik", "other"); bulrushlug.KindOf(err) != bulrushlug.KindUnknownModel {
				t.Errorf("unknown model: %v", err)
			}
		})
	}
}

package cmds

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func vmCommand() *cli.Command {
	f := append(seenFlags(), &cli.StringSliceFlag{Name: "label", Usage: "`name=value`; replaces all labels"})
	return &cli.Command{
		Name:  "vm",
		Usage: "label and drain VMs",
		Commands: []*cli.Command{
			{Name: "label", Usage: "set the labels of a VM", ArgsUsage: "name", Flags: f, Action: vmLabel},
			{Name: "drain", Usage: "give a VM no new work", ArgsUsage: "name", Flags: seenFlags(), Action: vmDrain(true)},
			{Name: "undrain", Usage: "give a VM work again", ArgsUsage: "name", Flags: seenFlags(), Action: vmDrain(false)},
			{Name: "list", Usage: "list VMs with labels or drains", Action: vmList},
		},
	}
}

func vmLabel(c context.Context, m *cli.Command) error {
	n, err := one(m, "name")
	if err != nil {
		return err
	}
	l, err := pairs(m.StringSlice("label"))
	if err != nil {
		return err
	}
	return vmChange(c, m, n, func(v *wire.Vm) { v.Labels = l })
}

// vmChange writes what f makes of the VM n, unless another operator changes it in between.
func vmChange(c context.Context, m *cli.Command, n string, f func(v *wire.Vm)) error {
	x, l, err := entities(c, m, (*wire.Change).GetVm)
	if err != nil {
		return err
	}
	v := &wire.Vm{Name: n}
	for _, y := range l {
		if y.Name == n {
			v = y
		}
	}
	f(v)
	if !m.IsSet("seen") && x.Revision > 0 {
		if err := m.Set("seen", strconv.FormatUint(x.Revision, 10)); err != nil {
			return err
		}
	}
	return change(c, m, &wire.Change{Entity: &wire.Change_Vm{Vm: v}})
}

func vmDrain(on bool) cli.ActionFunc {
	return func(c context.Context, m *cli.Command) error {
		n, err := one(m, "name")
		if err != nil {
			return err
		}
		return vmChange(c, m, n, func(v *wire.Vm) { v.Draining = on })
	}
}

func vmList(c context.Context, m *cli.Command) error {
	v, l, err := entities(c, m, (*wire.Change).GetVm)
	if err != nil {
		return err
	}
	return write(m, v, func(w io.Writer) {
		row(w, "NAME", "DRAINING", "LABELS")
		for _, x := range l {
			row(w, x.Name, x.Draining, labels(x.Labels))
		}
	})
}

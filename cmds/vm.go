package cmds

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func vmCommand() *cli.Command {
	f := append(changeFlags(), &cli.StringSliceFlag{Name: "label", Usage: "`name=value`; replaces all labels"})
	return &cli.Command{
		Name:  "vm",
		Usage: "label and drain VMs",
		Commands: []*cli.Command{
			{Name: "label", Usage: "set the labels of a VM", ArgsUsage: "name", Flags: f, Action: vmLabel},
			{Name: "drain", Usage: "stop assigning new work to a VM", ArgsUsage: "name", Flags: changeFlags(), Action: vmDrain(true)},
			{Name: "undrain", Usage: "resume assigning work to a VM", ArgsUsage: "name", Flags: changeFlags(), Action: vmDrain(false)},
			{Name: "list", Usage: "list VMs that have labels or are draining", Action: vmList},
		},
	}
}

func vmLabel(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "name")
	if err != nil {
		return err
	}
	l, err := parseLabels(m.StringSlice("label"))
	if err != nil {
		return err
	}
	return vmChange(c, m, n, func(v *wire.Vm) { v.Labels = l })
}

// vmChange applies f to the current state of VM n and writes the result.
//
// Unless --seen is set, it uses the revision that it read as a precondition (optimistic concurrency), so that a
// concurrent change by another operator is not overwritten.
func vmChange(c context.Context, m *cli.Command, n string, f func(v *wire.Vm)) error {
	x, l, err := listEntities(c, m, (*wire.Change).GetVm)
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
	return sendChange(c, m, &wire.Change{Entity: &wire.Change_Vm{Vm: v}})
}

func vmDrain(on bool) cli.ActionFunc {
	return func(c context.Context, m *cli.Command) error {
		n, err := singleArg(m, "name")
		if err != nil {
			return err
		}
		return vmChange(c, m, n, func(v *wire.Vm) { v.Draining = on })
	}
}

func vmList(c context.Context, m *cli.Command) error {
	v, l, err := listEntities(c, m, (*wire.Change).GetVm)
	if err != nil {
		return err
	}
	return writeOutput(m, v, func(w io.Writer) {
		writeRow(w, "NAME", "DRAINING", "LABELS")
		for _, x := range l {
			writeRow(w, x.Name, x.Draining, formatLabels(x.Labels))
		}
	})
}

package codec

import (
	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeMember encodes an entry of the VM list.
func EncodeMember(m bulrushlug.Member) *wire.Member {
	return &wire.Member{
		Name:    m.Name(),
		Address: m.Address(),
		Region:  m.Region(),
		Zone:    m.Zone(),
		Role:    m.Role(),
		Leaving: m.Leaving(),
		Data:    m.HasDataFolder(),
	}
}

// DecodeMember decodes an entry of the VM list.
func DecodeMember(w *wire.Member) bulrushlug.Member {
	m := bulrushlug.NewMember(w.Name, w.Address, w.Region, w.Zone, w.Role)
	return m.WithLeaving(w.Leaving).WithDataFolder(w.Data)
}

package codec

import (
	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeMember returns m as a message.
func EncodeMember(m bulrushlug.Member) *wire.Member {
	return &wire.Member{
		Name:    m.Name(),
		Address: m.Address(),
		Region:  m.Region(),
		Zone:    m.Zone(),
		Role:    m.Role(),
		Leaving: m.Leaving(),
		Data:    m.Data(),
	}
}

// DecodeMember returns the member in w.
func DecodeMember(w *wire.Member) bulrushlug.Member {
	m := bulrushlug.NewMember(w.Name, w.Address, w.Region, w.Zone, w.Role)
	return m.WithLeaving(w.Leaving).WithData(w.Data)
}

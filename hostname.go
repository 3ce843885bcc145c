package bulrushlug

import "net"

// Hostname returns the host h, as a request names it, without its port.
func Hostname(h string) string {
	if n, _, err := net.SplitHostPort(h); err == nil {
		return n
	}
	return h
}

package bulrushlug

import "time"

// StartRule divides the idle slots of backend servers among the processes that start batch items, as each of them hears of
// the starts of the others only from their reports.
type StartRule interface {
	// Share returns how many of n idle slots of a server this process may take within Window; order holds all processes
	// that run batch items, in their order at the server.
	Share(order []string, n int) int
	// Window returns the time after which the other processes have heard of a start.
	Window() time.Duration
	// Observe records that the process on VM vm has reported whether it has items that wait for a slot.
	Observe(vm string, waits bool)
}

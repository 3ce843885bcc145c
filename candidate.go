package bulrushlug

// Candidate is a backend server, reached through the agent on its VM, that may serve a request.
type Candidate struct {
	vm      string // Never empty.
	address string // host:port of the agent.
}

// NewCandidate returns the candidate on VM v whose agent listens on a (host:port).
func NewCandidate(v, a string) Candidate { return Candidate{vm: v, address: a} }

// VM returns the VM's name.
func (d Candidate) VM() string { return d.vm }

// Address returns host:port of the agent.
func (d Candidate) Address() string { return d.address }

package bulrushlug

// Candidate is a backend server that may serve a request.
type Candidate struct {
	vm      string // Never empty.
	address string // host:port of the agent.
}

// NewCandidate returns the candidate on VM v whose agent listens on a.
func NewCandidate(v, a string) Candidate { return Candidate{vm: v, address: a} }

// VM returns the VM.
func (d Candidate) VM() string { return d.vm }

// Address returns the address of the agent.
func (d Candidate) Address() string { return d.address }

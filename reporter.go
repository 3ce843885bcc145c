package bulrushlug

// Reporter gives the state of an agent.
type Reporter interface {
	// Counts returns the slots, the online requests and batch items that run, and the online requests that wait.
	Counts() (slots, online, batch, queued int)
	// Models returns the models that are loaded.
	Models() []string
	// Services returns the plain services beside the agent.
	Services() []string
}

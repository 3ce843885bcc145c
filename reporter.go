package bulrushlug

// Reporter provides the figures for an agent's load reports.
type Reporter interface {
	// Counts returns the number of slots, of running online requests and batch items, and of queued online requests.
	Counts() (slots, online, batch, queued int)
	// Models returns the loaded models.
	Models() []string
	// Services returns the plain HTTP services on the agent's VM.
	Services() []string
}

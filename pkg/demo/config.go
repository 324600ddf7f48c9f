package demo

import "rosemarygate/pkg/config"

// Ports of the demo's services.
const (
	ticketPort = 4101
	labelPort  = 4102
)

// Service names of the demo.
const (
	ticketService = "karri-bend/ticket-and-tally"
	labelService  = "karri-bend/label"
)

const credential = "demo-credential"

// configFiles is the configuration folder of the demo: two files, merged in the order of their names.
var configFiles = []config.File{
	{Name: "10-karri-bend.yaml", Data: []byte(`users:
  karri-bend:
    time_zone: Australia/Perth
    services:
      ticket-and-tally:
        port: 4101
        credential: demo-credential
        slots: 3
        flow_limit: 2000
        classes:
          tally: {priority: 0, share: 0.6, queue_limit: 64, deadline: 10s}
          query: {priority: 1, share: 0.2, queue_limit: 64, deadline: 10s}
`)},
	{Name: "20-label.yaml", Data: []byte(`users:
  karri-bend:
    services:
      label:
        port: 4102
        credential: demo-credential
        slots: 3
        flow_limit: 2000
        classes:
          sheet: {priority: 0, share: 0.8, queue_limit: 64, deadline: 10s}
`)},
}

func loadConfig() (*config.Config, error) {
	f, err := config.FromFiles(configFiles)
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

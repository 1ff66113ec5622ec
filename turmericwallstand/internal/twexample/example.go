// Package twexample holds the example deployments, with their documents, names and keys. The demonstration, load runs
// and tests run sites of them.
package twexample

import _ "embed"

//go:embed arriola.jsonc
var arriola []byte

//go:embed sonnenmatt.jsonc
var sonnenmatt []byte

// Example is one example deployment.
type Example struct {
	name          string
	document      []byte
	region        string
	zones         []string
	engineService string
	model         string
	plainService  string
	key           string
}

// Arriola returns the deployment of a company that arranges buyer meetings at drinks fairs.
func Arriola() Example {
	return Example{
		name: "arriola", document: arriola, region: "guate-central",
		zones:         []string{"zona-norte", "zona-sur", "zona-oficina"},
		engineService: "brief-writers", model: "arriola-brief", plainService: "agenda-desk", key: "arriola-demo-key",
	}
}

// Sonnenmatt returns the deployment of a service that writes a daily diary for parents.
func Sonnenmatt() Example {
	return Example{
		name: "sonnenmatt", document: sonnenmatt, region: "ch-mittelland",
		zones: []string{"bern-a", "bern-b", "thun-c"}, engineService: "summary-llm", model: "diary-summary",
		plainService: "diary-app", key: "sonnenmatt-demo-key",
	}
}

// ByName returns the example with the name, arriola or sonnenmatt, and whether there is one.
func ByName(name string) (Example, bool) {
	for _, e := range []Example{Arriola(), Sonnenmatt()} {
		if e.name == name {
			return e, true
		}
	}
	return Example{}, false
}

// Name returns the example's name.
func (e Example) Name() string { return e.name }

// Document returns the source of the deployment's document, JSON with comments.
func (e Example) Document() []byte { return e.document }

// Region returns the region of all its VMs.
func (e Example) Region() string { return e.region }

// Zone returns the zone of the VM with the index; the zones are used in turn.
func (e Example) Zone(i int) string { return e.zones[i%len(e.zones)] }

// EngineService returns the name of its service of model engines.
func (e Example) EngineService() string { return e.engineService }

// Model returns the model that the engines run.
func (e Example) Model() string { return e.model }

// PlainService returns the name of its plain service.
func (e Example) PlainService() string { return e.plainService }

// Key returns the bearer key of its account.
func (e Example) Key() string { return e.key }

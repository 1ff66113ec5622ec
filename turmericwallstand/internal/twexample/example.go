// Package twexample holds the example deployments.
package twexample

import _ "embed"

//go:embed arriola.jsonc
var arriola []byte

//go:embed sonnenmatt.jsonc
var sonnenmatt []byte

// Example is one deployment.
type Example struct {
	name     string
	document []byte
	region   string
	zones    []string
	engines  string
	model    string
	plain    string
	key      string
}

// Arriola arranges buyer meetings at drinks fairs.
func Arriola() Example {
	return Example{
		name: "arriola", document: arriola, region: "guate-central",
		zones: []string{"zona-norte", "zona-sur", "zona-oficina"}, engines: "brief-writers", model: "arriola-brief",
		plain: "agenda-desk", key: "arriola-demo-key",
	}
}

// Sonnenmatt runs a parents' daily diary.
func Sonnenmatt() Example {
	return Example{
		name: "sonnenmatt", document: sonnenmatt, region: "ch-mittelland",
		zones: []string{"bern-a", "bern-b", "thun-c"}, engines: "summary-llm", model: "diary-summary",
		plain: "diary-app", key: "sonnenmatt-demo-key",
	}
}

// Named returns the example with the name.
func Named(name string) (Example, bool) {
	for _, e := range []Example{Arriola(), Sonnenmatt()} {
		if e.name == name {
			return e, true
		}
	}
	return Example{}, false
}

// Name is the example's name.
func (e Example) Name() string { return e.name }

// Document is the source of its document.
func (e Example) Document() []byte { return e.document }

// Region is where it runs.
func (e Example) Region() string { return e.region }

// Zone returns one of its zones, in turn.
func (e Example) Zone(i int) string { return e.zones[i%len(e.zones)] }

// Engines is its service of model engines.
func (e Example) Engines() string { return e.engines }

// Model is the model that the engines run.
func (e Example) Model() string { return e.model }

// Plain is its plain service.
func (e Example) Plain() string { return e.plain }

// Key is the bearer key of its account.
func (e Example) Key() string { return e.key }

package turmericwall

// Document is one environment's configuration; it names no addresses.
type Document struct {
	revision int64
	digest   string
	source   []byte
	tree     DocumentTree
}

// NewDocument returns a checked document; use the parser of the document slice to make one.
func NewDocument(revision int64, digest string, source []byte, tree DocumentTree) *Document {
	return &Document{revision: revision, digest: digest, source: source, tree: tree}
}

// Revision counts the accepted changes of the environment, from 1.
func (d *Document) Revision() int64 { return d.revision }

// Digest is the SHA-256 of the source, in hexadecimal digits.
func (d *Document) Digest() string { return d.digest }

// Source returns the bytes as the operator wrote them.
func (d *Document) Source() []byte { return d.source }

// Service returns the service's declaration.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.tree.Services {
		if d.tree.Services[i].Name == name {
			return &d.tree.Services[i], true
		}
	}
	return nil, false
}

// ServiceOfModel returns the service whose engines run the model.
func (d *Document) ServiceOfModel(model string) (*Service, bool) {
	for i := range d.tree.Services {
		for _, m := range d.tree.Services[i].Models {
			if m == model {
				return &d.tree.Services[i], true
			}
		}
	}
	return nil, false
}

// Services returns all declared services.
func (d *Document) Services() []Service { return d.tree.Services }

// Accounts returns all declared accounts.
func (d *Document) Accounts() []Account { return d.tree.Accounts }

// Links returns the declared links between zones.
func (d *Document) Links() []Link { return d.tree.Links }

// Work returns the kind of work.
func (d *Document) Work(name string) (*Work, bool) {
	for i := range d.tree.Work {
		if d.tree.Work[i].Name == name {
			return &d.tree.Work[i], true
		}
	}
	return nil, false
}

// DocumentTree is the document's content, strictly decoded.
type DocumentTree struct {
	// Services are what callers can reach.
	Services []Service `json:"services"`
	// Work lists the kinds of work.
	Work []Work `json:"work"`
	// Accounts are the callers' accounts.
	Accounts []Account `json:"accounts"`
	// Links gives the rates between zones; an unlisted pair has no limit.
	Links []Link `json:"links,omitempty"`
}

// ServiceType tells model engines from plain services.
type ServiceType string

// The types of service.
const (
	ServiceEngines ServiceType = "engines"
	ServicePlain   ServiceType = "plain"
)

// Service declares an upstream service.
type Service struct {
	// Name is the service's name in the platform's VM list.
	Name string      `json:"name"`
	Type ServiceType `json:"type"`
	// Models are the models that the service's engines run.
	Models []string `json:"models,omitempty"`
	// Calls lists a plain service's calls; one that is not listed is repeatable only if GET or HEAD.
	Calls []Call `json:"calls,omitempty"`
	// TimeoutMillis bounds one call to a plain service, in milliseconds.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Call declares one call of a plain service.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable,omitempty"`
}

// Work declares a kind of work.
type Work struct {
	Name string `json:"name"`
	// Urgent work has latency targets; other work may wait.
	Urgent bool `json:"urgent,omitempty"`
	// FirstTokenMillis is the target for the first token, in milliseconds.
	FirstTokenMillis int64 `json:"firstTokenMillis,omitempty"`
	// TokenGapMillis is the target for the mean time between tokens, in milliseconds.
	TokenGapMillis int64 `json:"tokenGapMillis,omitempty"`
	// Worth is the value of one finished request against other kinds.
	Worth float64 `json:"worth"`
}

// Account declares a caller's account.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the bearer key, in hexadecimal digits.
	KeySHA256 string `json:"keySha256"`
	// Work lists the kinds of work the account may ask for; the first is its default.
	Work []string `json:"work"`
	// RequestsPerSecond and Burst bound the account's requests over all daemons.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             int     `json:"burst"`
	// OpenDeferrable bounds the account's deferrable requests that have no answer yet.
	OpenDeferrable int `json:"openDeferrable,omitempty"`
}

// Link declares the rate between two zones, in both directions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MegabytesPerSecond is shared by all transfers over the link.
	MegabytesPerSecond float64 `json:"megabytesPerSecond"`
	// Cost weighs a transfer over the link, in milliseconds of first-token time that avoiding it is worth.
	Cost float64 `json:"cost,omitempty"`
}

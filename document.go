package turmericwall

// Document is one revision of an environment's configuration. It contains no addresses and must not be changed.
type Document struct {
	revision int64
	digest   string
	source   []byte
	tree     DocumentTree
}

// NewDocument returns a document without checking it; package twparser decodes and checks documents.
func NewDocument(revision int64, digest string, source []byte, tree DocumentTree) *Document {
	return &Document{revision: revision, digest: digest, source: source, tree: tree}
}

// Revision returns the number of accepted changes of the environment, this one included.
func (d *Document) Revision() int64 { return d.revision }

// Digest returns the SHA-256 of the source in hexadecimal digits.
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

// Work returns the kind of work with the name.
func (d *Document) Work(name string) (*Work, bool) {
	for i := range d.tree.Work {
		if d.tree.Work[i].Name == name {
			return &d.tree.Work[i], true
		}
	}
	return nil, false
}

// DocumentTree is the content of a document. Unknown fields are rejected when it is decoded.
type DocumentTree struct {
	// Services are what callers can reach.
	Services []Service `json:"services"`
	// Work lists the kinds of work.
	Work []Work `json:"work"`
	// Accounts are the callers' accounts.
	Accounts []Account `json:"accounts"`
	// Links are the rates between data centres; a pair that is not listed has no limit.
	Links []Link `json:"links,omitempty"`
}

// ServiceType distinguishes services with model engines from plain services.
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
	// Calls are a plain service's calls. A call that is not listed is repeatable only if its method is GET or HEAD.
	Calls []Call `json:"calls,omitempty"`
	// TimeoutMillis is the time limit of one call to a plain service.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Call declares one call of a plain service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Repeatable is set if the call may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
}

// Work declares a kind of work.
type Work struct {
	Name string `json:"name"`
	// Urgent is set for work with latency targets; other work is deferrable.
	Urgent bool `json:"urgent,omitempty"`
	// FirstTokenMillis is the target for the time until the first token.
	FirstTokenMillis int64 `json:"firstTokenMillis,omitempty"`
	// TokenGapMillis is the target for the mean time between tokens.
	TokenGapMillis int64 `json:"tokenGapMillis,omitempty"`
	// Worth is the value of one finished request relative to other kinds.
	Worth float64 `json:"worth"`
}

// Account declares a caller's account.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the bearer key, in hexadecimal digits.
	KeySHA256 string `json:"keySha256"`
	// Work lists the kinds of work that the account may request; the first is the default.
	Work []string `json:"work"`
	// RequestsPerSecond and Burst limit the account's requests to all daemons together.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             int     `json:"burst"`
	// OpenDeferrable limits the number of the account's deferrable requests without an answer.
	OpenDeferrable int `json:"openDeferrable,omitempty"`
}

// Link declares the rate between two data centres, in both directions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MegabytesPerSecond is the rate that all transfers over the link share.
	MegabytesPerSecond float64 `json:"megabytesPerSecond"`
	// Cost is the delay of the first token, in milliseconds, that is accepted to avoid a transfer over the link.
	Cost float64 `json:"cost,omitempty"`
}

// Package twparser parses and validates an environment's configuration document. The operator's command line validates
// a document with it before it is applied; daemons parse each new revision with it.
package twparser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twstrictjson"
)

const (
	defaultTimeoutMillis = 5_000
	// defaultOpenDeferrable is the default limit of an account's open deferrable requests.
	defaultOpenDeferrable = 10_000
	// maxMillis bounds time-outs and latency targets, in milliseconds.
	maxMillis = 3_600_000
	// keyDigits is the number of hexadecimal digits of a SHA-256 digest.
	keyDigits = 64
)

// Parser parses the documents of one source.
type Parser struct {
	name string
}

// New returns a Parser whose errors name the source, such as a file or a peer.
func New(name string) *Parser { return &Parser{name: name} }

// Parse decodes the source, sets the defaults and validates the result. An invalid document gives a
// *turmericwall.Problem of kind KindInvalidDocument that names the field and the remedy.
func (p *Parser) Parse(revision int64, source []byte) (*turmericwall.Document, error) {
	var tree turmericwall.DocumentTree
	if err := twstrictjson.New(p.name, turmericwall.KindInvalidDocument).Decode(source, &tree); err != nil {
		return nil, err
	}
	setDefaults(&tree)
	if fault := validate(&tree); fault != "" {
		return nil, turmericwall.NewProblem(turmericwall.KindInvalidDocument, p.name+": "+fault,
			"correct the field; docs/CONFIGURATION.md describes it")
	}
	return turmericwall.NewDocument(revision, Digest(source), source, tree), nil
}

// Digest returns the SHA-256 digest of a document's bytes in hexadecimal; it identifies the document.
func Digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

func setDefaults(tree *turmericwall.DocumentTree) {
	for i := range tree.Services {
		if tree.Services[i].TimeoutMillis == 0 {
			tree.Services[i].TimeoutMillis = defaultTimeoutMillis
		}
	}
	for i := range tree.Accounts {
		if tree.Accounts[i].OpenDeferrable == 0 {
			tree.Accounts[i].OpenDeferrable = defaultOpenDeferrable
		}
	}
}

// validate returns the first fault of the document, as its field and what is wrong with it, or "".
func validate(tree *turmericwall.DocumentTree) string {
	validators := []func(*turmericwall.DocumentTree) string{
		validateServices, validateWork, validateAccounts, validateLinks,
	}
	for _, validator := range validators {
		if fault := validator(tree); fault != "" {
			return fault
		}
	}
	return ""
}

func validateServices(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	models := map[string]bool{}
	for i, s := range tree.Services {
		field := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || names[s.Name] {
			return field + ".name: is missing or used twice"
		}
		names[s.Name] = true
		if fault := validateService(field, s); fault != "" {
			return fault
		}
		for _, m := range s.Models {
			if models[m] {
				return fmt.Sprintf("%s.models: %q belongs to two services", field, m)
			}
			models[m] = true
		}
	}
	return ""
}

func validateService(field string, s turmericwall.Service) string {
	if s.TimeoutMillis < 0 || s.TimeoutMillis > maxMillis {
		return field + ".timeoutMillis: must be between 1 and 3600000"
	}
	switch s.Type {
	case turmericwall.ServiceEngines:
		if len(s.Models) == 0 {
			return field + ".models: an engines service needs at least one model"
		}
		if len(s.Calls) > 0 {
			return field + ".calls: only a plain service has calls"
		}
	case turmericwall.ServicePlain:
		return validateCalls(field, s)
	default:
		return field + ".type: must be engines or plain"
	}
	return ""
}

func validateCalls(field string, s turmericwall.Service) string {
	if len(s.Models) > 0 {
		return field + ".models: only an engines service has models"
	}
	for i, c := range s.Calls {
		if c.Method == "" || c.Path == "" || c.Path[0] != '/' {
			return fmt.Sprintf("%s.calls[%d]: needs a method and a path that starts with /", field, i)
		}
		if c.Method == http.MethodGet && !c.Repeatable {
			return fmt.Sprintf("%s.calls[%d]: a GET is always repeatable; set repeatable to true", field, i)
		}
	}
	return ""
}

func validateWork(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	for i, w := range tree.Work {
		field := fmt.Sprintf("work[%d]", i)
		switch {
		case w.Name == "" || names[w.Name]:
			return field + ".name: is missing or used twice"
		case w.Worth <= 0:
			return field + ".worth: must be above 0"
		case w.Urgent && (w.FirstTokenMillis <= 0 || w.TokenGapMillis <= 0):
			return field + ": urgent work needs firstTokenMillis and tokenGapMillis above 0"
		case !w.Urgent && (w.FirstTokenMillis != 0 || w.TokenGapMillis != 0):
			return field + ": work that is not urgent must not have firstTokenMillis or tokenGapMillis"
		case w.FirstTokenMillis > maxMillis || w.TokenGapMillis > maxMillis:
			return field + ": firstTokenMillis and tokenGapMillis must be at most 3600000"
		}
		names[w.Name] = true
	}
	return ""
}

func validateAccounts(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range tree.Accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		digest, err := hex.DecodeString(a.KeySHA256)
		switch {
		case a.Name == "" || names[a.Name]:
			return field + ".name: is missing or used twice"
		case err != nil || len(digest)*2 != keyDigits || keys[a.KeySHA256]:
			return field + ".keySha256: must be 64 hexadecimal digits that no other account has"
		case a.RequestsPerSecond <= 0 || a.Burst <= 0:
			return field + ": requestsPerSecond and burst must be above 0"
		case a.OpenDeferrable < 0:
			return field + ".openDeferrable: must not be negative"
		}
		names[a.Name] = true
		keys[a.KeySHA256] = true
		if fault := validateAccountWork(tree, field, a); fault != "" {
			return fault
		}
	}
	return ""
}

func validateAccountWork(tree *turmericwall.DocumentTree, field string, a turmericwall.Account) string {
	if len(a.Work) == 0 {
		return field + ".work: must name at least one kind of work"
	}
	for _, name := range a.Work {
		known := false
		for _, w := range tree.Work {
			known = known || w.Name == name
		}
		if !known {
			return fmt.Sprintf("%s.work: %q is not declared under work", field, name)
		}
	}
	return ""
}

func validateLinks(tree *turmericwall.DocumentTree) string {
	for i, l := range tree.Links {
		if l.From == "" || l.To == "" || l.MegabytesPerSecond <= 0 || l.Cost < 0 {
			return fmt.Sprintf(
				"links[%d]: needs from and to, megabytesPerSecond above 0, and a cost that is not negative", i)
		}
	}
	return ""
}

// Package twparser reads and checks one environment's document.
package twparser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twstrict"
)

const (
	defaultTimeoutMillis  = 5_000
	defaultOpenDeferrable = 10_000
	maxMillis             = 3_600_000
	keyDigits             = 64
)

// Parser reads documents.
type Parser struct {
	name string
}

// New returns a parser whose errors name the source.
func New(name string) *Parser { return &Parser{name: name} }

// Parse reads, completes and checks a document; it refuses with a problem that names field and remedy.
func (p *Parser) Parse(revision int64, source []byte) (*turmericwall.Document, error) {
	var tree turmericwall.DocumentTree
	if err := twstrict.New(p.name, turmericwall.KindInvalidDocument).Decode(source, &tree); err != nil {
		return nil, err
	}
	setDefaults(&tree)
	if fault := check(&tree); fault != "" {
		return nil, turmericwall.NewProblem(turmericwall.KindInvalidDocument, p.name+": "+fault,
			"correct the field; docs/CONFIGURATION.md describes it")
	}
	return turmericwall.NewDocument(revision, Digest(source), source, tree), nil
}

// Digest names a document's bytes.
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

func check(tree *turmericwall.DocumentTree) string {
	checks := []func(*turmericwall.DocumentTree) string{checkServices, checkWork, checkAccounts, checkLinks}
	for _, c := range checks {
		if fault := c(tree); fault != "" {
			return fault
		}
	}
	return ""
}

func checkServices(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	models := map[string]bool{}
	for i, s := range tree.Services {
		field := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || names[s.Name] {
			return field + ".name: is missing or stands twice"
		}
		names[s.Name] = true
		if fault := checkService(field, s); fault != "" {
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

func checkService(field string, s turmericwall.Service) string {
	if s.TimeoutMillis < 0 || s.TimeoutMillis > maxMillis {
		return field + ".timeoutMillis: must lie between 1 and 3600000"
	}
	switch s.Type {
	case turmericwall.ServiceEngines:
		if len(s.Models) == 0 {
			return field + ".models: an engines service needs a model"
		}
		if len(s.Calls) > 0 {
			return field + ".calls: only a plain service has calls"
		}
	case turmericwall.ServicePlain:
		return checkCalls(field, s)
	default:
		return field + ".type: must be engines or plain"
	}
	return ""
}

func checkCalls(field string, s turmericwall.Service) string {
	if len(s.Models) > 0 {
		return field + ".models: only an engines service has models"
	}
	for i, c := range s.Calls {
		if c.Method == "" || c.Path == "" || c.Path[0] != '/' {
			return fmt.Sprintf("%s.calls[%d]: needs a method and a path that starts with /", field, i)
		}
		if c.Method == http.MethodGet && !c.Repeatable {
			return fmt.Sprintf("%s.calls[%d]: a GET is repeatable by its definition; set repeatable", field, i)
		}
	}
	return ""
}

func checkWork(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	for i, w := range tree.Work {
		field := fmt.Sprintf("work[%d]", i)
		switch {
		case w.Name == "" || names[w.Name]:
			return field + ".name: is missing or stands twice"
		case w.Worth <= 0:
			return field + ".worth: must be above 0"
		case w.Urgent && (w.FirstTokenMillis <= 0 || w.TokenGapMillis <= 0):
			return field + ": urgent work needs firstTokenMillis and tokenGapMillis above 0"
		case !w.Urgent && (w.FirstTokenMillis != 0 || w.TokenGapMillis != 0):
			return field + ": work that may wait has no latency targets"
		case w.FirstTokenMillis > maxMillis || w.TokenGapMillis > maxMillis:
			return field + ": targets are in milliseconds and at most 3600000"
		}
		names[w.Name] = true
	}
	return ""
}

func checkAccounts(tree *turmericwall.DocumentTree) string {
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range tree.Accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		digest, err := hex.DecodeString(a.KeySHA256)
		switch {
		case a.Name == "" || names[a.Name]:
			return field + ".name: is missing or stands twice"
		case err != nil || len(digest)*2 != keyDigits || keys[a.KeySHA256]:
			return field + ".keySha256: must be 64 hexadecimal digits that no other account has"
		case a.RequestsPerSecond <= 0 || a.Burst <= 0:
			return field + ": needs requestsPerSecond and burst above 0"
		case a.OpenDeferrable < 0:
			return field + ".openDeferrable: is negative"
		}
		names[a.Name] = true
		keys[a.KeySHA256] = true
		if fault := checkAccountWork(tree, field, a); fault != "" {
			return fault
		}
	}
	return ""
}

func checkAccountWork(tree *turmericwall.DocumentTree, field string, a turmericwall.Account) string {
	if len(a.Work) == 0 {
		return field + ".work: names no kind of work"
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

func checkLinks(tree *turmericwall.DocumentTree) string {
	for i, l := range tree.Links {
		if l.From == "" || l.To == "" || l.MegabytesPerSecond <= 0 || l.Cost < 0 {
			return fmt.Sprintf("links[%d]: needs from, to, a rate above 0 and no negative cost", i)
		}
	}
	return ""
}

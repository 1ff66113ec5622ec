package twcommand

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twparser"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
)

// shortDigest is the number of hex digits of a digest that tables show.
const shortDigest = 12

type check struct {
	File string `arg:"" type:"path" help:"Document, JSON with comments."`
}

type checkResult struct {
	Valid  bool   `json:"valid"`
	Digest string `json:"digest"`
}

// Run parses and validates a document, and prints its digest.
func (c *check) Run(o *output) error {
	document, err := parseFile(c.File)
	if err != nil {
		return err
	}
	return o.write(checkResult{Valid: true, Digest: document.Digest()},
		[]any{"valid", document.Digest()[:shortDigest]},
		[]any{"services", len(document.Services())},
		[]any{"accounts", len(document.Accounts())})
}

type diff struct {
	environmentFlags
	File string `arg:"" type:"path" help:"Document, JSON with comments."`
}

// lineDiff lists the lines that a document removes from and adds to the revision in force.
type lineDiff struct {
	Revision int64    `json:"revision"`
	Removed  []string `json:"removed"`
	Added    []string `json:"added"`
}

// Run compares the document line by line with the revision in force, and returns errConditionNotMet if they differ.
func (d *diff) Run(ctx context.Context, o *output) error {
	document, err := parseFile(d.File)
	if err != nil {
		return err
	}
	publisher := d.publisher()
	head, _, err := publisher.Head(ctx)
	if err != nil {
		return err
	}
	var current []byte
	if head.Revision > 0 {
		entry, err := publisher.FetchEntry(ctx, head.Revision)
		if err != nil {
			return err
		}
		current = entry.Source
	}
	found := diffLines(string(current), string(document.Source()))
	found.Revision = head.Revision
	rows := [][]any{{fmt.Sprintf("against revision %d of %s", head.Revision, d.Environment)}}
	for _, line := range found.Removed {
		rows = append(rows, []any{"- " + line})
	}
	for _, line := range found.Added {
		rows = append(rows, []any{"+ " + line})
	}
	if err := o.write(found, rows...); err != nil {
		return err
	}
	if len(found.Added)+len(found.Removed) > 0 {
		return fmt.Errorf("the document differs from the one in force: %w", errConditionNotMet)
	}
	return nil
}

// diffLines compares the two texts as multisets of lines: a line is listed as often as one side has it more often than
// the other. The order of lines and empty lines are ignored.
func diffLines(before, after string) lineDiff {
	counts := make(map[string]int)
	for line := range strings.SplitSeq(after, "\n") {
		counts[line]++
	}
	d := lineDiff{Removed: []string{}, Added: []string{}}
	for line := range strings.SplitSeq(before, "\n") {
		counts[line]--
		if counts[line] < 0 && line != "" {
			d.Removed = append(d.Removed, line)
		}
	}
	for line := range strings.SplitSeq(after, "\n") {
		if counts[line] > 0 && line != "" {
			counts[line]--
			d.Added = append(d.Added, line)
		}
	}
	return d
}

type apply struct {
	environmentFlags
	File string `arg:"" type:"path" help:"Document, JSON with comments."`
	Base int64  `required:"" help:"Revision that the document is based on; 0 for a new environment."`
}

// Run applies a document if the revision that it is based on is still in force; otherwise it fails with a conflict.
func (a *apply) Run(ctx context.Context, o *output) error {
	document, err := parseFile(a.File)
	if err != nil {
		return err
	}
	head, err := a.publisher().Apply(ctx, a.Base, twpublisher.RevisionEntry{
		Source: document.Source(), At: time.Now().UTC(), Operator: operatorName(),
	})
	if err != nil {
		return err
	}
	return o.write(head, []any{"accepted as revision", head.Revision, head.Digest[:shortDigest]})
}

type prove struct {
	environmentFlags
	operationsFlags
}

// Run records a proof if every daemon runs the revision in force and at least one request was answered under it.
func (p *prove) Run(ctx context.Context, o *output) error {
	publisher := p.publisher()
	head, _, err := publisher.Head(ctx)
	if err != nil {
		return err
	}
	proof := twpublisher.Proof{Environment: p.Environment, Revision: head.Revision, Digest: head.Digest, At: time.Now().UTC()}
	for _, address := range p.Daemons {
		s, err := daemonStatus(ctx, address)
		if err != nil {
			return err
		}
		if s.Digest != head.Digest || s.Environment != p.Environment {
			return fmt.Errorf("daemon %s has revision %d of %s in force, not %d: retry when it has followed: %w",
				address, s.Revision, s.Environment, head.Revision, errConditionNotMet)
		}
		proof.VMs = append(proof.VMs, s.Incarnation)
		proof.Answered += s.Answered
		proof.Failed += s.Failed
	}
	if proof.Answered == 0 {
		return fmt.Errorf("no request was answered under revision %d: send trial requests first: %w",
			head.Revision, errConditionNotMet)
	}
	if err := publisher.StoreProof(ctx, proof); err != nil {
		return err
	}
	return o.write(proof, []any{"proved revision", proof.Revision, "on", len(proof.VMs), "daemons,", proof.Answered, "answered,", proof.Failed, "failed"})
}

type promote struct {
	Platform string `required:"" env:"TURMERICWALL_PLATFORM" help:"Base URL of the platform's service."`
	From     string `default:"trial" help:"Environment in which the document was proved."`
	To       string `default:"production" help:"Environment to promote it to."`
	Base     int64  `required:"" help:"Revision of the target that the change is based on."`
}

// Run applies the bytes that were proved in the source environment to the target, unchanged.
func (p *promote) Run(ctx context.Context, o *output) error {
	source := environmentFlags{Platform: p.Platform, Environment: p.From}.publisher()
	target := environmentFlags{Platform: p.Platform, Environment: p.To}.publisher()
	head, _, err := source.Head(ctx)
	if err != nil {
		return err
	}
	proof, err := source.Proof(ctx, head.Digest)
	if err != nil {
		return err
	}
	if proof.Environment != p.From {
		return turmericwall.NewProblem(turmericwall.KindNotFound, "the document was proved in "+proof.Environment, "run prove in "+p.From)
	}
	entry, err := source.FetchEntry(ctx, head.Revision)
	if err != nil {
		return err
	}
	accepted, err := target.Apply(ctx, p.Base, twpublisher.RevisionEntry{
		Source: entry.Source, At: time.Now().UTC(), Operator: operatorName(), PromotedFrom: p.From,
	})
	if err != nil {
		return err
	}
	return o.write(accepted, []any{"promoted to", p.To, "as revision", accepted.Revision, accepted.Digest[:shortDigest]})
}

type history struct {
	environmentFlags
}

// Run lists the revisions, newest first.
func (h *history) Run(ctx context.Context, o *output) error {
	entries, err := h.publisher().History(ctx)
	if err != nil {
		return err
	}
	rows := [][]any{{"REVISION", "DIGEST", "AT", "OPERATOR", "PROMOTED FROM"}}
	for _, e := range entries {
		rows = append(rows, []any{e.Revision, e.Digest[:shortDigest], e.At.Format(time.RFC3339), e.Operator, e.PromotedFrom})
	}
	return o.write(entries, rows...)
}

// parseFile reads and validates a document.
func parseFile(path string) (*turmericwall.Document, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the document, check its path: %w", err)
	}
	return twparser.New(path).Parse(0, source)
}

package tweventlog_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// The catalogue in docs/EVENTS.md must list exactly the events of the code, with their messages.
func TestCatalogueMatchesTheCode(t *testing.T) {
	g := NewWithT(t)
	catalogue, err := os.ReadFile("../../../docs/EVENTS.md")
	g.Expect(err).NotTo(HaveOccurred())
	listed := make(map[turmericwall.EventID]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \|`).FindAllSubmatch(catalogue, -1) {
		number, err := strconv.Atoi(string(row[1]))
		g.Expect(err).NotTo(HaveOccurred())
		listed[turmericwall.EventID(number)] = string(row[2])
	}
	g.Expect(listed).To(Equal(turmericwall.EventMessages()))
}

// Each declared event must be recorded somewhere in the code, since operators would wait in vain for the others.
func TestEachEventIsRecorded(t *testing.T) {
	g := NewWithT(t)
	eventsFile, err := os.ReadFile("../../../events.go")
	g.Expect(err).NotTo(HaveOccurred())
	var sources bytes.Buffer
	for _, folder := range []string{"../..", "../../../platform"} {
		g.Expect(filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			content, err := os.ReadFile(path)
			sources.Write(content)
			return err
		})).To(Succeed())
	}
	for _, name := range regexp.MustCompile(`(?m)^\t(Event\w+)\s+EventID`).FindAllSubmatch(eventsFile, -1) {
		g.Expect(regexp.MustCompile(`turmericwall\.`+string(name[1])+`\b`).Match(sources.Bytes())).To(BeTrue(), string(name[1]))
	}
}

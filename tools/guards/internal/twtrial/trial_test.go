package twtrial_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/tools/guards/internal/twtrial"
)

const (
	product = "package p\n\n// Guarded is guarded.\nfunc Guarded() bool { return true }\n\n// Other is not.\nfunc Other() bool { return true }\n"
	tests   = "package p\n\nimport \"testing\"\n\nfunc TestGuard(t *testing.T) {\n\tif !Guarded() {\n\t\tt.Fatal(\"unguarded\")\n\t}\n}\n\n" +
		"func TestRed(t *testing.T) { t.Fatal(\"red\") }\n"
)

// newTree returns the root of a tree with a product, its tests, and patches: each replaces a line of the product by another one.
func newTree(t *testing.T, patches map[string][3]string) string {
	t.Helper()
	t.Setenv("GOWORK", "off")
	root := t.TempDir()
	files := map[string]string{"go.mod": "module p\n\ngo 1.26.0\n", "p.go": product, "p_test.go": tests}
	for name, p := range patches {
		lines := strings.Split(strings.TrimSuffix(product, "\n"), "\n")
		diff := "--- a/p.go\n+++ b/p.go\n@@ -1,7 +1,7 @@\n"
		for _, line := range lines {
			if strings.Contains(line, p[1]) {
				diff += "-" + line + "\n+" + strings.Replace(line, p[1], p[2], 1) + "\n"
				continue
			}
			diff += " " + line + "\n"
		}
		files["patches/"+name+".patch"] = p[0] + "\n\ndiff --git a/p.go b/p.go\n" + diff
	}
	for name, content := range files {
		path := filepath.Join(root, name)
		NewWithT(t).Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
		NewWithT(t).Expect(os.WriteFile(path, []byte(content), 0o644)).To(Succeed())
	}
	for _, arguments := range [][]string{{"init", "-q"}, {"add", "."}} {
		command := exec.Command("git", arguments...)
		command.Dir = root
		NewWithT(t).Expect(command.Run()).To(Succeed())
	}
	return root
}

// header returns the lines before a diff.
func header(test, reason string) string {
	return "Guard: a guard\nTest: . " + test + "\nFails with: " + reason
}

// Guards against a test without teeth that counts as one that fails, as one does that fails anyway, isn't there, or doesn't compile.
func TestOnlyAFailureForItsReasonShowsTheGuard(t *testing.T) {
	const guarded, taken = "Guarded() bool { return true }", "Guarded() bool { return false }"
	for _, c := range []struct {
		name  string
		patch [3]string
		want  string
	}{
		{"fails", [3]string{header("TestGuard", "unguarded"), guarded, taken}, "fails as it must"},
		{"another reason", [3]string{header("TestGuard", "in use"), guarded, taken}, "FAILS FOR ANOTHER REASON"},
		{"disarmed", [3]string{header("TestGuard", ""), "Other() bool { return true }", "Other() bool { return false }"}, "STILL PASSES"},
		{"red", [3]string{header("TestRed", ""), guarded, taken}, "DOES NOT PASS WITH THE GUARD"},
		{"no such test", [3]string{header("TestNone", ""), guarded, taken}, "DOES NOT PASS WITH THE GUARD"},
		{"no program", [3]string{header("TestGuard", ""), guarded, "Guarded() bool { return 1 }"}, "DOES NOT COMPILE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			root := newTree(t, map[string][3]string{"a": c.patch})
			var output bytes.Buffer
			trial, err := twtrial.New(twtrial.Config{Root: root, Patches: filepath.Join(root, "patches"), Folder: t.TempDir(), Output: &output})
			g.Expect(err).NotTo(HaveOccurred())
			isSound, err := trial.Run(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(isSound).To(Equal(c.want == "fails as it must"))
			g.Expect(output.String()).To(MatchRegexp(`a +` + c.want))
			g.Expect(os.ReadFile(filepath.Join(root, "p.go"))).To(BeEquivalentTo(product), "the tree itself stays as it is")
		})
	}
}

// Guards against a patch that nobody notices to be of earlier code.
func TestCheckFindsPatchesThatDoNotApply(t *testing.T) {
	g := NewWithT(t)
	sound := [3]string{header("TestGuard", ""), "Guarded() bool { return true }", "Guarded() bool { return false }"}
	root := newTree(t, map[string][3]string{"a": sound, "b": sound})
	check := func(names ...string) (bool, string) {
		var output bytes.Buffer
		trial, err := twtrial.New(twtrial.Config{Root: root, Patches: filepath.Join(root, "patches"), Names: names, Output: &output})
		g.Expect(err).NotTo(HaveOccurred())
		isSound, err := trial.Check(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return isSound, output.String()
	}
	isSound, output := check()
	g.Expect(isSound).To(BeTrue())
	g.Expect(output).To(ContainSubstring("2 of 2"))
	path := filepath.Join(root, "patches", "b.patch")
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, bytes.Replace(content, []byte("-func Guarded"), []byte("-func Former"), 1), 0o644)).To(Succeed())
	isSound, output = check()
	g.Expect(isSound).To(BeFalse())
	g.Expect(output).To(MatchRegexp(`b +DOES NOT APPLY`))
	isSound, _ = check("a")
	g.Expect(isSound).To(BeTrue())
}

func TestPatchNamesItsGuardAndItsTest(t *testing.T) {
	root := newTree(t, map[string][3]string{"a": {"Guard: a guard", "Guarded", "Guarded"}})
	_, err := twtrial.New(twtrial.Config{Root: root, Patches: filepath.Join(root, "patches")})
	NewWithT(t).Expect(err).To(HaveOccurred())
}

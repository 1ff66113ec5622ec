package twtrial

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

const extension = ".patch"

// patch takes one guard out.
type patch struct {
	name, path, guard string
	test              test
}

// test is a test, and the arguments that choose its seed.
type test struct {
	folder, name string
	arguments    []string
	// reason matches the output of the failure that shows the guard's absence; any output if the patch states none.
	reason *regexp.Regexp
}

// key names the test and its seed.
func (t test) key() string {
	return strings.Join(append([]string{t.folder, t.name}, t.arguments...), " ")
}

// readPatches reads the named patches of the folder, or all of them if there are no names.
func readPatches(folder string, names []string) ([]patch, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("find the patches: %w", err)
	}
	if len(names) == 0 {
		paths, err := filepath.Glob(filepath.Join(folder, "*"+extension))
		if err != nil {
			return nil, fmt.Errorf("list the patches: %w", err)
		}
		for _, path := range paths {
			names = append(names, filepath.Base(path))
		}
		slices.Sort(names)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no patches in %s", folder)
	}
	var patches []patch
	for _, name := range names {
		name = strings.TrimSuffix(name, extension)
		p, err := readPatch(name, filepath.Join(folder, name+extension))
		if err != nil {
			return nil, fmt.Errorf("read the patch %s: %w", name, err)
		}
		patches = append(patches, p)
	}
	return patches, nil
}

// readPatch reads the lines before the diff.
func readPatch(name, path string) (patch, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return patch{}, err
	}
	p, reason := patch{name: name, path: path}, ""
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "diff ") || strings.HasPrefix(line, "--- ") {
			break
		}
		key, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch key {
		case "Guard":
			p.guard = value
		case "Fails with":
			reason = value
		case "Test":
			if fields := strings.Fields(value); len(fields) > 1 {
				p.test = test{folder: fields[0], name: fields[1], arguments: fields[2:]}
			}
		}
	}
	if p.guard == "" || p.test.name == "" {
		return patch{}, errors.New("it has no lines 'Guard: ...' and 'Test: FOLDER NAME' before the diff")
	}
	if p.test.reason, err = regexp.Compile(reason); err != nil {
		return patch{}, fmt.Errorf("read the failure's pattern: %w", err)
	}
	return p, nil
}

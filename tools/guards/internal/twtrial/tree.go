package twtrial

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// soak is the folder of the tests that start the daemon.
const soak = "./platform/soak"

// tree is a copy of the tracked files.
type tree struct{ folder string }

// newTree copies the tracked files to the folder, as they are in the work tree.
func newTree(ctx context.Context, root, folder string) (*tree, error) {
	list, err := runIn(ctx, root, "git", "ls-files", "-z")
	if err != nil {
		return nil, fmt.Errorf("list the tracked files: %w: %s", err, list)
	}
	for name := range strings.SplitSeq(strings.TrimRight(list, "\x00"), "\x00") {
		if err := copyFile(filepath.Join(root, name), filepath.Join(folder, name)); err != nil {
			return nil, fmt.Errorf("copy a tracked file: %w", err)
		}
	}
	return &tree{folder: folder}, nil
}

func copyFile(from, to string) error {
	info, err := os.Lstat(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	if info.Mode()&os.ModeSymlink != 0 {
		target, err := os.Readlink(from)
		if err != nil {
			return err
		}
		return os.Symlink(target, to)
	}
	content, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, content, info.Mode().Perm())
}

// try applies the patch, runs its test, and takes the patch back.
func (c *tree) try(ctx context.Context, p patch) (verdict, output string, err error) {
	if output, err := runIn(ctx, c.folder, "git", "apply", p.path); err != nil {
		return verdictDoesNotApply, output, ctx.Err()
	}
	verdict, output, err = c.runTest(ctx, p.test)
	if err != nil {
		return verdict, output, err
	}
	if output, err := runIn(ctx, c.folder, "git", "apply", "-R", p.path); err != nil {
		return verdict, output, fmt.Errorf("take the patch back: %w: %s", err, output)
	}
	return verdict, output, nil
}

// runTest runs the test and tells a failure for its reason from everything else that ends go test with an error. The daemon is built
// before a soak, which starts it, and fails also if it doesn't compile.
func (c *tree) runTest(ctx context.Context, t test) (verdict, output string, err error) {
	if t.folder == soak {
		if output, err := runIn(ctx, c.folder, "go", "build", "-trimpath", "-o", os.DevNull, "./platform"); err != nil {
			return verdictNotCompiled, output, ctx.Err()
		}
	}
	top, sub, _ := strings.Cut(t.name, "/")
	arguments := append([]string{"test", "-trimpath", "-count=1", "-timeout=4m", t.folder, "-run", "^" + top + "$/" + sub, "-v"}, t.arguments...)
	output, err = runIn(ctx, c.folder, "go", arguments...)
	switch {
	case ctx.Err() != nil:
		return verdictNotRun, output, ctx.Err()
	case err == nil && strings.Contains(output, "--- PASS: "+top+" "):
		return verdictPasses, output, nil
	case err != nil && strings.Contains(output, "--- FAIL: "+top+" "):
		if !t.reason.MatchString(output) {
			return verdictOtherReason, output, nil
		}
		return verdictFails, output, nil
	case strings.Contains(output, "[build failed]"), strings.Contains(output, "[setup failed]"):
		return verdictNotCompiled, output, nil
	}
	return verdictNotRun, output, nil
}

// runIn runs a program in the folder, whatever work tree surrounds that, and returns what it wrote.
func runIn(ctx context.Context, folder, program string, arguments ...string) (string, error) {
	absolute, err := filepath.Abs(folder)
	if err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = absolute
	command.Env = append(os.Environ(), "GIT_CEILING_DIRECTORIES="+filepath.Dir(absolute))
	// A test binary that go test started ends with it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	output, err := command.CombinedOutput()
	return string(output), err
}

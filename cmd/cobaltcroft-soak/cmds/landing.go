package cmds

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest/soak"
)

// landing is an earlier version of the program that may run side by side with the current one.
type landing struct {
	commit string
	// lacks contains the guarantees that it does not give.
	lacks []soak.Guarantee
}

// readLanding finds a commit in the list of landings. A line has the form "commit | guarantee, guarantee" with the
// guarantees that the commit lacks; # starts a comment. "last" selects the first line. A commit that is not
// listed lacks no guarantee.
func readLanding(path, commit string) (landing, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return landing{}, problem.Wrap(err, problem.Invalid, "run it at the root of the repository, or give --landings", "the list of landings can't be read")
	}
	for line := range strings.Lines(string(data)) {
		listed, lacks, found := strings.Cut(strings.TrimSpace(line), "|")
		listed = strings.TrimSpace(listed)
		if !found || strings.HasPrefix(listed, "#") || commit != "last" && !strings.HasPrefix(listed, commit) {
			continue
		}
		l := landing{commit: listed}
		for promise := range strings.SplitSeq(lacks, ",") {
			if promise = strings.TrimSpace(promise); promise != "" {
				l.lacks = append(l.lacks, soak.Guarantee(promise))
			}
		}
		return l, nil
	}
	return landing{commit: commit}, nil
}

// build builds the program of a commit in a directory and returns its path.
func (l landing) build(dir string) (string, error) {
	if err := exec.Command("git", "cat-file", "-e", l.commit+"^{commit}").Run(); err != nil {
		return "", problem.Wrap(err, problem.NotFound, "fetch the whole history (git fetch --unshallow), or name another commit", "the repository's history has no commit %s", l.commit)
	}
	sources := filepath.Join(dir, "sources")
	if err := os.MkdirAll(sources, 0o700); err != nil {
		return "", err
	}
	archive := exec.Command("git", "archive", l.commit)
	unpack := exec.Command("tar", "-xf", "-", "-C", sources)
	var packed, said bytes.Buffer
	archive.Stdout, archive.Stderr, unpack.Stdin, unpack.Stderr = &packed, &said, &packed, &said
	if err := archive.Run(); err != nil {
		return "", fmt.Errorf("git archive %s: %w: %s", l.commit, err, said.String())
	}
	if err := unpack.Run(); err != nil {
		return "", fmt.Errorf("tar: %w: %s", err, said.String())
	}
	program := filepath.Join(dir, "cobaltcroftd-"+l.commit)
	build := exec.Command("go", "build", "-o", program, "./cmd/cobaltcroftd")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build at %s: %w: %s", l.commit, err, out)
	}
	return program, nil
}

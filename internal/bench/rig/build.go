package rig

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/samber/oops"
)

// Build compiles the daemon from the module around the working directory,
// writes the program to dir and returns its path.
func Build(ctx context.Context, dir string) (path string, err error) {
	defer func() { err = oops.Wrapf(err, "build the daemon") }()
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "banyanshift")
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/banyanshift")
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod in the working directory or its parents; run inside the module or pass --banyanshift")
		}
		dir = parent
	}
}
